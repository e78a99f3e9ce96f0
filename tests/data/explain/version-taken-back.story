 -1073.003 ms | lika-c-5               config version=2 before=0 from="store" routes=312
 -1072.680 ms | lika-c-5               move service="puka47a" version="v2" change="ordered" state="active" share_ppm=0 reason=""
  -641.138 ms | lika-c-5               move service="puka47a" version="v2" change="told" state="active" share_ppm=40000 reason="told by lika-a-1"
  -167.766 ms | lika-c-5               target target="i-0b1f1dbb28" change="ready" service="puka47a" version="v2" slots=13 sequence=1 born_ms=1780129132792
    +0.000 ms * lika-c-5               ran call="c1" route="r-gbymdi8" target="i-0b1f1dbb28" version="v2" result="answered" status=500 waited_us=0 spent_us=34767 running=1
    +0.221 ms * lika-c-5               finished call="c1" route="r-gbymdi8" service="puka47a" status=500 outcome="failed" cause="none" late=false took_us=34767 left_us=750233 offers=1 sends=1 inner=false config_version=2
