"""The command line, as `python -m cottonspread`."""

from cottonspread.cli import main

raise SystemExit(main())
