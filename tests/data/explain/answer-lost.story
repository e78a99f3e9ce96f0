  -426.917 ms | lika-b-3               config version=7 before=3 from="store" routes=312
  -415.506 ms | lika-b-1               config version=7 before=3 from="store" routes=312
  -367.093 ms | lika-b-3               config version=10 before=7 from="store" routes=313
  -364.336 ms | lika-b-1               config version=10 before=7 from="store" routes=313
    +0.000 ms * lika-b-1               ran call="c1" route="r-u97j9ty" target="i-20bc487d3a" version="v1" result="broken" status=0 waited_us=15298 spent_us=487 running=12
    +0.606 ms * lika-b-3               finished call="c1" route="r-u97j9ty" service="nybo50a" status=502 outcome="unknown" cause="broken" late=false took_us=16858 left_us=737142 offers=1 sends=1 inner=false config_version=10
