"""Sources of the server list other than discovery."""
