"""Many instances on one machine as one daemon: `core` decides, `supervisor` carries
out, `plan` says what each instance is.
"""
