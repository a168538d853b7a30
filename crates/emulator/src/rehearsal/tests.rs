use super::operators::times;

#[test]
fn times_of_day_are_around_noon_wherever_a_rehearsal_begins() {
    for begun_s in [0, 86_399, 43_200 + 59, 1_790_000_007] {
        let text = times(r#"{"utc_offset_min": "{offset}", "opens": "{clock:75}"}"#, begun_s);
        let read: serde_json::Value = serde_json::from_str(&text).unwrap();
        let local = begun_s as i64 + read["utc_offset_min"].as_i64().unwrap() * 60;
        assert_eq!(local.rem_euclid(86_400) / 60, 720, "{begun_s}");
        let at = local.rem_euclid(86_400) + 75;
        assert_eq!(read["opens"], format!("{:02}:{:02}:{:02}", at / 3600, at / 60 % 60, at % 60), "{begun_s}");
    }
}
