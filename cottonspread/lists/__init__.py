"""Sources of the server list besides discovery."""
