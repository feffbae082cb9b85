//! Every schedule by name, and what it brings about.

use super::builder::ScheduleBuilder;
use crate::faults::How;

/// A schedule that can be asked for.
pub struct NamedSchedule {
    /// Its name.
    pub name: &'static str,
    /// What it brings about.
    pub summary: &'static str,
    pub(super) build: fn(&mut ScheduleBuilder),
}

const fn schedule(
    name: &'static str,
    summary: &'static str,
    build: fn(&mut ScheduleBuilder),
) -> NamedSchedule {
    NamedSchedule {
        name,
        summary,
        build,
    }
}

/// Every schedule, in the order in which they are listed, played and drawn.
pub const SCHEDULES: &[NamedSchedule] = &[
    schedule("quiet", "nothing fails", |_| {}),
    schedule(
        "founding",
        "the control daemons that found the system are killed in the middle of it",
        ScheduleBuilder::founding,
    ),
    schedule(
        "five_voters",
        "six control daemons, of which two lose their disks at once, and others are killed later",
        ScheduleBuilder::five_voters,
    ),
    schedule(
        "kill_one",
        "one control daemon is killed and comes back",
        ScheduleBuilder::kill_one,
    ),
    schedule(
        "kill_many",
        "two of three control daemons are killed together",
        ScheduleBuilder::kill_many,
    ),
    schedule(
        "kill_edges",
        "agents and proxies are killed",
        ScheduleBuilder::kill_edges,
    ),
    schedule(
        "total_loss",
        "every daemon is killed together, with specs put just before",
        ScheduleBuilder::total_loss,
    ),
    schedule(
        "freeze",
        "control daemons and edges stop and go on, with specs and evacuations meanwhile",
        ScheduleBuilder::freeze,
    ),
    schedule(
        "wipe",
        "a control daemon loses its disk",
        ScheduleBuilder::wipe,
    ),
    schedule(
        "wipe_after_accept",
        "a disk is lost just after it confirmed a spec",
        ScheduleBuilder::wipe_after_accept,
    ),
    schedule(
        "replace",
        "control machines are replaced by empty ones at new addresses, one after the other",
        ScheduleBuilder::replace,
    ),
    schedule(
        "blank_and_lagging",
        "a blank disk while another voter lags behind a cut",
        ScheduleBuilder::blank_and_lagging,
    ),
    schedule("disk_slow", "disks slow down", ScheduleBuilder::disk_slow),
    schedule(
        "disk_full",
        "disks fill up and get room again",
        ScheduleBuilder::disk_full,
    ),
    schedule(
        "split",
        "control machines are split apart, with operators racing on both sides",
        ScheduleBuilder::split,
    ),
    schedule(
        "cut_one",
        "single machines are cut off, also one way only",
        ScheduleBuilder::cut_one,
    ),
    schedule(
        "cut_inbound",
        "one control machine after the other hears nobody, while what it sends arrives",
        ScheduleBuilder::cut_inbound,
    ),
    schedule(
        "cut_region",
        "a region is cut off",
        ScheduleBuilder::cut_region,
    ),
    schedule(
        "cut_control",
        "the edges are cut from all control machines",
        ScheduleBuilder::cut_control,
    ),
    schedule(
        "replicas",
        "replicas crash, go dark and come back cold",
        ScheduleBuilder::replicas,
    ),
    schedule(
        "storm",
        "half of the replicas crash at once under a crowd, again and again",
        ScheduleBuilder::storm,
    ),
    schedule(
        "cold_crowd",
        "replicas come back cold while a crowd is there",
        ScheduleBuilder::cold_crowd,
    ),
    schedule(
        "replaced",
        "replicas are warned and taken away one by one",
        ScheduleBuilder::replaced,
    ),
    schedule(
        "evacuate",
        "zones are evacuated and restored",
        ScheduleBuilder::evacuate,
    ),
    schedule(
        "race",
        "operators race, and put specs in quick succession",
        ScheduleBuilder::race,
    ),
    schedule("crowd", "a crowd comes at once", ScheduleBuilder::crowd),
    schedule(
        "swing",
        "callers swing to long answers, and move between zones",
        ScheduleBuilder::swing,
    ),
    schedule(
        "rollout",
        "a good version is rolled out",
        ScheduleBuilder::rollout,
    ),
    schedule(
        "rollout_bad",
        "a version that fails from the start is rolled out",
        ScheduleBuilder::rollout_bad,
    ),
    schedule(
        "rollout_late",
        "a version turns bad when it is half out",
        ScheduleBuilder::rollout_late,
    ),
    schedule(
        "rollout_lane",
        "a version fails on one lane only",
        ScheduleBuilder::rollout_lane,
    ),
    schedule(
        "rollout_faults",
        "a rollout while its leaders are frozen, killed and cut off, and replicas crash",
        ScheduleBuilder::rollout_faults,
    ),
    schedule(
        "lose_control",
        "every control daemon is lost and comes back",
        ScheduleBuilder::lose_control,
    ),
    schedule(
        "lose_edges",
        "every edge is lost and comes back",
        ScheduleBuilder::lose_edges,
    ),
    schedule(
        "loss_again",
        "a total loss, and another while the fleet comes back",
        ScheduleBuilder::loss_again,
    ),
    schedule(
        "retry_storm",
        "a total loss in a crowd whose callers all come back when they were told to",
        ScheduleBuilder::retry_storm,
    ),
    schedule(
        "lose_region",
        "a region is lost with all that is in it, and comes back",
        ScheduleBuilder::lose_region,
    ),
    schedule(
        "lose_region_for_good",
        "a region is lost for good",
        ScheduleBuilder::lose_region_for_good,
    ),
    schedule(
        "lose_two_regions",
        "two regions are lost and come back",
        ScheduleBuilder::lose_two_regions,
    ),
    schedule(
        "leaving_ways",
        "replicas say that they leave, are drained by a smaller spec, and are warned",
        ScheduleBuilder::leaving_ways,
    ),
    schedule(
        "short_notice",
        "replicas are warned a few seconds before they go, in a crowd",
        ScheduleBuilder::short_notice,
    ),
    schedule(
        "leaving_split",
        "replicas are warned while control is split and its daemons die",
        ScheduleBuilder::leaving_split,
    ),
    schedule(
        "evacuate_all",
        "zones are evacuated until some callers have no home left",
        ScheduleBuilder::evacuate_all,
    ),
    schedule(
        "evacuate_race",
        "operators evacuate and restore a zone at once",
        ScheduleBuilder::evacuate_race,
    ),
    schedule(
        "evacuate_busy",
        "a zone is evacuated while a crowd streams and waits there",
        ScheduleBuilder::evacuate_busy,
    ),
    schedule(
        "misbehave",
        "replicas' streams come wrong in every way, and are resumed",
        ScheduleBuilder::misbehave,
    ),
    schedule(
        "resume",
        "replicas and proxies die under long streams, with replicas that join another run",
        ScheduleBuilder::resume,
    ),
    schedule(
        "network",
        "messages come late, twice or not at all",
        ScheduleBuilder::network,
    ),
    schedule(
        "clocks",
        "clocks run up to a twentieth apart, with control daemons killed and cut off",
        ScheduleBuilder::clocks,
    ),
    schedule(
        "platform",
        "the platform is silent, tells an old list, loses and delays orders; replicas move",
        ScheduleBuilder::platform,
    ),
    schedule(
        "load_late",
        "versions load very late while replicas crash and a version is rolled out",
        ScheduleBuilder::load_late,
    ),
    schedule(
        "edges_replaced",
        "edge machines are replaced by empty ones at new addresses",
        ScheduleBuilder::edges_replaced,
    ),
    schedule(
        "rolling",
        "every daemon is restarted, one after the other, as for an upgrade",
        ScheduleBuilder::rolling,
    ),
    schedule(
        "all_replaced",
        "every machine of the fleet is replaced, one after the other",
        ScheduleBuilder::all_replaced,
    ),
    schedule(
        "cold_dark",
        "replicas go dark, come back cold, and meet proxies that have just started",
        ScheduleBuilder::cold_dark,
    ),
    schedule("rollout_slow", "a version that is far too slow", |build| {
        build.rollout_bad_part(None, None, How::Slow)
    }),
    schedule(
        "rollout_zone",
        "a version that fails in one zone only",
        ScheduleBuilder::rollout_zone,
    ),
    schedule(
        "rollout_long_lane",
        "a version that fails on the rarer lane only",
        ScheduleBuilder::rollout_long_lane,
    ),
    schedule(
        "rollout_load",
        "a version that fails under load, and a crowd when it is half out",
        ScheduleBuilder::rollout_load,
    ),
    schedule(
        "rollout_end",
        "a version that fails at the end of its answers",
        |build| build.rollout_bad_part(None, None, How::FailsLate),
    ),
    schedule(
        "rollout_baking",
        "a version that turns bad about when it is all out",
        ScheduleBuilder::rollout_baking,
    ),
    schedule(
        "rollout_done",
        "a version that turns bad when the old one is gone",
        ScheduleBuilder::rollout_done,
    ),
    schedule(
        "rollout_evacuate",
        "a zone is evacuated and restored while a version shifts",
        ScheduleBuilder::rollout_evacuate,
    ),
    schedule(
        "rollout_plans",
        "plans are replaced and turned back in every phase, also by two operators at once",
        ScheduleBuilder::rollout_plans,
    ),
    schedule(
        "rollout_kill_switch",
        "the kill switch is put on and off in the middle of a step",
        ScheduleBuilder::rollout_kill_switch,
    ),
    schedule(
        "rollout_pairs",
        "two faults of any kind while a version is rolled out",
        |build| build.pairs(true),
    ),
    schedule(
        "placed",
        "the platform replaces releases one by one, and replicas crash, come back and are warned",
        ScheduleBuilder::placed,
    ),
    schedule(
        "placed_good",
        "a good version where the platform places versions",
        ScheduleBuilder::placed_good,
    ),
    schedule(
        "placed_bad",
        "a version that fails from the start there",
        |build| build.placed_bad(None, How::Fails),
    ),
    schedule(
        "placed_late",
        "a version that turns bad there, before its time or when it is half out",
        ScheduleBuilder::placed_late,
    ),
    schedule(
        "placed_lane",
        "a version that fails on one lane only there",
        ScheduleBuilder::placed_lane,
    ),
    schedule(
        "placed_slow",
        "a version that is far too slow there",
        |build| build.placed_bad(None, How::Slow),
    ),
    schedule(
        "placed_load",
        "replicas that report their version very late there",
        ScheduleBuilder::placed_load,
    ),
    schedule(
        "placed_faults",
        "an order there while its leaders are frozen, killed and cut off, and replicas crash",
        ScheduleBuilder::placed_faults,
    ),
    schedule(
        "placed_plans",
        "orders there that are replaced under way",
        ScheduleBuilder::placed_plans,
    ),
    schedule(
        "engine_quiet",
        "replicas are engines, and nothing fails",
        |_| {},
    ),
    schedule(
        "engine_crowd",
        "three times as many requests to engines",
        ScheduleBuilder::engine_crowd,
    ),
    schedule(
        "engine_region_lost",
        "a region with its engines is lost for a while",
        ScheduleBuilder::engine_region_lost,
    ),
    schedule(
        "engine_region_restarts",
        "a region's daemons and engines restart together, and the engines are cold",
        ScheduleBuilder::engine_region_restarts,
    ),
    schedule(
        "grey",
        "replicas fail part of what they are sent and say that they are well",
        ScheduleBuilder::grey,
    ),
    schedule(
        "lying",
        "replicas' health answers are false, either way",
        |build| build.lying(false),
    ),
    schedule(
        "flapping",
        "replicas go down and come back by turns",
        ScheduleBuilder::flapping,
    ),
    schedule(
        "long_spec",
        "the spec grows by many lanes on slow links, and goes on changing",
        ScheduleBuilder::long_spec,
    ),
    schedule(
        "two_losses",
        "six control daemons: two lose their disks at once, two more are lost, and then a region",
        ScheduleBuilder::two_losses,
    ),
    schedule(
        "engine_grey",
        "engines fail part of what they are sent",
        ScheduleBuilder::grey,
    ),
    schedule(
        "engine_lying",
        "engines say that they are well and answer nothing",
        |build| build.lying(true),
    ),
    schedule(
        "engine_flapping",
        "engines go down and come back cold by turns",
        ScheduleBuilder::flapping,
    ),
    schedule(
        "pairs",
        "two or three faults of any kind at once",
        |build| build.pairs(false),
    ),
    schedule("mix", "anything", ScheduleBuilder::mix),
];
