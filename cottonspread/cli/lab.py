"""`lab ...`: stand-in hosts, lists and clients, experiments. Its libraries are loaded only once it is asked for."""


def add(commands):
    pass
