    +0.000 ms * lika-a-2               placed call="c1" peer="lika-a-1" offer=1 target="i-dbc78b6f3e" running=12 waiting=21 sent=0 load_age_us=8174 on_time=true
    +0.471 ms * lika-a-1               refused call="c1" route="r-6kwq65z" cause="busy" waited_us=0 running=13 waiting=17 room_in_us=109856 left_us=127735
    +0.898 ms * lika-a-2               bounced call="c1" offer=1 cause="busy" waited_us=0 room_in_us=109856
    +1.013 ms * lika-a-2               placed call="c1" peer="lika-c-1" offer=2 target="i-4c2a2674f0" running=13 waiting=35 sent=3 load_age_us=8438 on_time=true
    +4.406 ms * lika-a-2               bounced call="c1" offer=2 cause="busy" waited_us=0 room_in_us=167617
    +4.543 ms * lika-a-2               placed call="c1" peer="lika-c-2" offer=3 target="i-e147d318dc" running=13 waiting=23 sent=1 load_age_us=32057 on_time=false
    +7.772 ms * lika-a-2               bounced call="c1" offer=3 cause="busy" waited_us=0 room_in_us=129544
    +7.892 ms * lika-a-2               finished call="c1" route="r-6kwq65z" service="nybo50a" status=503 outcome="not-run" cause="busy" late=true took_us=7873 left_us=120127 offers=3 sends=0 inner=false config_version=12
