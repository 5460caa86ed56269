"""cottonspread: a balancer for long-lived connections."""
