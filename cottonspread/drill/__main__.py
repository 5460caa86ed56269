from cottonspread.drill.hosting import main

raise SystemExit(main())
