"""The simulator's adapter, as `python -m cottonspread.drill`."""

from cottonspread.drill.batches import main

raise SystemExit(main())
