//! Load reports as upstreams write them.

use balance::LoadReport;

/// A report of 3 running and 1 waiting requests and 9 slots, with this work time.
fn report(work_time_pct: Option<u32>) -> Option<LoadReport> {
    Some(LoadReport {
        running: 3,
        waiting: 1,
        slots: 9,
        work_time_pct,
    })
}

macro_rules! parsed {
    ($($name:ident: $text:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(LoadReport::parse($text), $expected);
        }
    )*};
}

parsed! {
    three_values: "3,1,9" => report(None);
    spaces: " 3, 1 ,9 , 250 " => report(Some(250));
    usual_work_time: "3,1,9,100" => report(Some(100));
    short_work_time: "3,1,9,60" => report(Some(60));
    long_work_time: "3,1,9,250" => report(Some(250));
    further_values: "3,1,9,250,7,x" => report(Some(250));
    empty_work_time: "3,1,9," => report(None);
    zero_work_time: "3,1,9,0" => report(None);
    negative_work_time: "3,1,9,-250" => report(None);
    fractional_work_time: "3,1,9,2.5" => report(None);
    work_time_that_is_no_number: "3,1,9,slow" => report(None);
    absurdly_short_work_time: "3,1,9,1" => report(None);
    absurdly_long_work_time: "3,1,9,10001" => report(None);
    work_time_that_overflows: "3,1,9,99999999999999999999" => report(None);
    not_a_number_work_time: "3,1,9,NaN" => report(None);
    empty: "" => None;
    two_values: "3,1" => None;
    missing_value: "3,,9,250" => None;
    garbled_load: "3,x,9,250" => None;
    negative_load: "-3,1,9,250" => None;
    other_separator: "3;1;9;250" => None;
}
