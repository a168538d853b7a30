use super::operators::expand_times;

#[test]
fn expanded_times_of_day_are_around_noon_for_any_start_time() {
    for start_s in [0, 86_399, 43_200 + 59, 1_790_000_007] {
        let text = expand_times(r#"{"utc_offset_min": "{offset}", "opens": "{clock:75}"}"#, start_s);
        let parsed: serde_json::Value = serde_json::from_str(&text).unwrap();
        let local = start_s as i64 + parsed["utc_offset_min"].as_i64().unwrap() * 60;
        assert_eq!(local.rem_euclid(86_400) / 60, 720, "{start_s}");
        let at = local.rem_euclid(86_400) + 75;
        assert_eq!(parsed["opens"], format!("{:02}:{:02}:{:02}", at / 3600, at / 60 % 60, at % 60), "{start_s}");
    }
}
