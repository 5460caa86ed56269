"""The main program."""

from cottonspread.cli import main

raise SystemExit(main())
