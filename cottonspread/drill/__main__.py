from cottonspread.drill.batches import main

raise SystemExit(main())
