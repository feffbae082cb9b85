//! Every constant of the coordination parts, with unit and reason.

use crate::Ms;

/// ms. How often a state machine is ticked; a fifth of the shortest interval it keeps.
pub const TICK: Ms = 50;
/// ms. Control daemons' beats to each other: five may be lost before a peer counts as gone.
pub const HEARTBEAT_EVERY: Ms = 200;
/// ms. Silence after which a control daemon counts as gone; above five beats, so that one slow disk sync is no death.
pub const PEER_GONE: Ms = 1_100;
/// ms. Life of a lease at most: the brief's evacuation and canary bounds are 5 s, so a lapse leaves 2 s to act.
pub const LEASE: Ms = 3_000;
/// Leases in a contact bound: a duty whose holder died is taken over, one lease later, well within it.
pub const LEASES_IN_CONTACT: Ms = 2;
/// Voters at least, where there are so many daemons: one of them may be lost.
pub const VOTERS_LEAST: usize = 3;
/// Voters where there are enough daemons, unless the losses to be borne ask for more: a zone and a disk may be lost.
pub const VOTERS: usize = 5;
/// ms. A daemon that stands by takes the place of a voter that was silent for so long; a restart takes less.
pub const STEP_IN: Ms = 3_000;
/// ms. An empty machine that came so lately came in a lost one's stead.
pub const NEWCOMER: Ms = 20_000;
/// ms. After so long even a daemon in a place that has its share of voters does.
pub const REPLACE_ANYWHERE: Ms = 10_000;
/// ms. A newcomer among the voters reads the others' disks in this time; longer, and it is given up as one.
pub const READING: Ms = 3_000;
/// ms. A sync that takes longer is a disk that does not work: others take over what this daemon owns.
pub const SYNC_LATE: Ms = 1_000;
/// ms. Duty holders renew three times within a lease's life.
pub const RENEW_EVERY: Ms = 700;
/// ms. A holder stops this long before voters do, covering clock rates that differ by up to 5%.
pub const LEASE_MARGIN: Ms = 200;
/// ms. Resend of prepares and accepts that were not answered.
pub const RESEND: Ms = 400;
/// ms. An operator's write is answered by then: accepted, not accepted or unknown.
pub const WRITE_LIMIT: Ms = 2_000;
/// ms. A daemon that passed a write on waits a little longer than the owner does.
pub const FORWARD_LIMIT: Ms = 2_500;
/// ms without a tick after which a daemon takes itself to have stood still: whoever asked it goes on to another after a
/// second of silence. And for how long from its waking it takes nothing that may have waited in its sockets.
pub const STOOD_STILL: Ms = 1_000;
pub const WAKES_FOR: Ms = 500;
/// Accepted values of an operator's key whose digests are kept beside the one that replaced them: an order that is
/// repeated late is known to have stood. Some 18 bytes each; at the quickest storm that was met, a change each 80 ms, it
/// reaches back twenty seconds, as long as a machine is cut off. What is older gets no clear answer.
pub const PAST_VALUES: usize = 256;
/// ms. An order that is compared with nothing is tried again on what another order left, for so long from its coming:
/// its sender goes to another daemon after a second without an answer, and may then give the opposite order.
pub const ORDER_RENEWED: Ms = 700;
/// ms. A voter that has differed from this daemon for so long counts as behind.
pub const BEHIND_AFTER: Ms = 500;
/// ms. Two daemons that hold different things for so long compare them, even where what they hold keeps changing.
pub const DIFFERS_LONG: Ms = 1_000;
/// ms. A control daemon tells callers of edges only when every agent had three turns to poll it: a short list would
/// send everybody to a few edges.
pub const KNOWS_FLEET: Ms = 1_500;
/// ms. A process that is asked to stop serves on for so long: callers keep the directory's answers for two seconds, and
/// until the directory has left a stopping edge out some more pass. What is taken last has the rest of the grace.
pub const SHUTDOWN_SERVES: Ms = 2_800;
/// ms before the end of the grace. What has no answer then gets one, and the process ends.
pub const SHUTDOWN_FAREWELL: Ms = 600;
/// ms. That a region's callers are sent so far beyond it, or nowhere, is logged this often while it lasts.
pub const RESOLUTION_LOGGED: Ms = 60_000;
/// ms. An edge that was not heard of for so long is most likely gone: that the directory names it all the same is logged.
pub const SILENT_EDGE: Ms = 3_000;
/// ms. It is logged this often while it lasts.
pub const SILENT_LOGGED: Ms = 2_000;
/// ms. A control daemon that has run and heard a majority of the voters for so long without a break is in touch: every live
/// edge has polled it, also one that has just learned of it.
pub const IN_TOUCH_AFTER: Ms = 3_000;
/// ms. Until it is in touch a daemon tells edges of itself this often, where gossip knows them and they have not polled it:
/// those that know it have done so twice by then.
pub const INTRODUCE_EVERY: Ms = 1_000;
/// Addresses of edges in one answer to a caller.
pub const ADDRESSES: usize = 64;
/// Bytes a ms. News to an agent are taken to arrive at this pace: an edge's link of 10 Mbit/s, shared by the daemons that
/// send it news. What is short, as nearly all is, arrives at once.
pub const NEWS_PACE: Ms = 256;
/// Bytes. A value that is as long is packed: below, packing saves less than it costs on every edge.
pub const PACKED_FROM: usize = 4 << 10;
/// Bytes that a packed value may unpack to: forty times the record of the largest fleet.
pub const UNPACKED_MAX: usize = 32 << 20;
/// Writes that may wait for one key; operators racing are a handful.
pub const WRITES_WAITING: usize = 32;
/// ms. Agents ask each control daemon for news this often; news is also pushed.
pub const POLL_EVERY: Ms = 400;
/// ms. An agent remembers streams that have ended for so long: control daemons are back sooner, after most cuts.
pub const COUNTS_KEPT: Ms = 60_000;
/// Daemons that keep a service's tallies: who holds its duty, and who would take it next.
pub const COUNTERS: usize = 2;
/// ms. A daemon that is neither any more keeps them for so long: voters come and go for a moment.
pub const COUNTS_LEFT: Ms = 10_000;
/// ms for each edge that is known. An agent that has just started asks again so soon, while it may serve nobody.
pub const START_POLL: Ms = 20;
/// ms. Agents that polled within this are counted as followers.
pub const FOLLOWER_GONE: Ms = 3_000;
/// ms. They are pushed to if they polled within this, two questions' time: who is cut off asks when it is back, and what
/// was pushed meanwhile would come then as a flood.
pub const PUSHED_TO: Ms = 1_000;
/// Bytes. A longer value is let come to an agent from one daemon: to send it is dearer than to wait.
pub const LONG_VALUE: usize = 1_000;
/// ms. News is pushed to an agent within this, also a long spec over a slow link and by a busy daemon; after it whichever
/// daemon is asked tells, well before a change must be in force.
pub const PUSH_TAKES: Ms = 1_000;
/// ms. Shuffle between neighbours.
pub const SHUFFLE_EVERY: Ms = 250;
/// Of so many shuffles one goes to a neighbour in any region, the others stay in the own one if it is large.
pub const FAR_SHUFFLE: u32 = 3;
/// Neighbours in a partial view: enough that a view of 5 in a fleet of 11 stays connected when four go.
pub const VIEW: usize = 5;
/// Nodes up to which a fleet shuffles so often, and ms at most between two shuffles of a larger one: what it says to
/// neighbours is a part of its whole traffic that does not grow.
pub const SHUFFLE_FLEET: Ms = 88;
pub const SHUFFLE_SLOWEST: Ms = 1_000;
/// Beats in one shuffle, ten bytes each: all of a small fleet's.
pub const SHUFFLE_BEATS: usize = 24;
/// Descriptions in one shuffle at most, besides the sender's own: those that the other asked for.
pub const SHUFFLE_NODES: usize = 128;
/// Beats during which a node has just started: it asks seeds, and is told the beats of all whom they know.
pub const YOUNG: u32 = 8;
/// ms. Unit of a beat's age on the wire.
pub const AGE_UNIT: Ms = 10;
/// ms. A node whose beat has not risen for this long counts as gone; rumours need a few shuffles to cross.
pub const NODE_GONE: Ms = 2_000;
/// ms for each live node. A beat comes round by samples of a fixed size, so that news of each node gets rarer as the
/// fleet grows: from 12 nodes on they are given more time, or live ones would count as gone.
pub const GONE_A_NODE: Ms = 170;
/// ms. A node gone this long is forgotten: longer than any freeze that is expected to wake again.
pub const NODE_FORGOTTEN: Ms = 600_000;
/// ms. Range digests between neighbouring agents.
pub const REPAIR_EVERY: Ms = 500;
/// ms. A comparison of boards counts as lately made; three are tried within it.
pub const MET: Ms = 900;
/// ms. Without a control majority for so long an agent compares boards with every edge, well before its rule lapses.
pub const MISSED: Ms = 1_200;
/// Ranges that keys are split into for repair.
pub const RANGES: u16 = 16;
/// ms. How long an edge that hears no control majority goes on with stable versions while it hears most edges.
pub const STABLE_BOUND: Ms = 60_000;
/// ms. A rule handed to a proxy holds this long; an agent that died is noticed by then.
pub const RULE_LIFE: Ms = 1_500;
/// ms. Longest wait for a claim's majority; many in-country round trips, and short enough to void after it.
pub const CLAIM_LIMIT: Ms = 300;
/// ms. How long claims are remembered: five times the longest time left that a lane may grant.
pub const CLAIM_KEPT: Ms = 600_000;
/// ms. A key's age as its caller tells it may be off by so much: two machines' clocks over ten minutes.
pub const KEY_MARGIN: Ms = 5_000;
/// ms. An agent knows all edges after so long; before that its majority of them could be another's minority.
pub const KNOWS_EDGES: Ms = 3_000;
/// Holders of one claim: a majority of three outlives one of them.
pub const CLAIM_GROUP: usize = 3;
/// ms. A list of replicas that has not changed for so long is calm: nothing is being placed, drained or taken away.
pub const LIST_CALM: Ms = 5_000;
/// ms. Replicas and the platform are asked this often.
pub const REPORT_EVERY: Ms = 300;
/// ms. A replica whose report is older is not used; three reports may be lost.
pub const REPORT_OLD: Ms = 1_200;
/// ms. The rollout loop's period.
pub const LOOP_EVERY: Ms = 300;
/// ms. A new duty holder waits so long for the reports of all replicas; some may be dark.
pub const HEAR_ALL: Ms = 2_000;
/// Replicas that retire in one step, at least; the source's value.
pub const STEP_MIN: usize = 3;
/// Percent of a service that retires in one step when that is more; the source's value.
pub const STEP_PERCENT: usize = 5;
/// ms. A canary takes at least this long, so that slow failures show.
pub const CANARY_MIN: Ms = 3_000;
/// Requests a canary must have ended before it can pass: at 10% that is a few hundred of the service.
pub const CANARY_REQUESTS: u64 = 20;
/// Requests that it must have ended on each lane that has any: of six on a lane that mostly fails one or more fail.
pub const CANARY_LANE: u64 = 6;
/// ms. A canary without enough requests passes after this long, if nothing failed and no lane has traffic that
/// the canary has not met: a quiet service must not block.
pub const CANARY_QUIET: Ms = 60_000;
/// ms. So does one that has met too little of a rare lane. The rarer lane of the smaller deployment ends nine in
/// it; in half of it it once ended one, and a version bad there went by.
pub const CANARY_RARE: Ms = 120_000;
/// Failures of a version before it may be called bad: two can be chance.
pub const BAD_FAILURES: u64 = 3;
/// Percent by which a version's failure rate must exceed the other's.
pub const BAD_MARGIN: u64 = 10;
/// Percent of ended requests that a version may fail on when there is no other to hold it against.
pub const BAD_ALONE: u64 = 20;
/// ms. Windows that failure rates are taken over: short ones show a version that has just turned, long ones
/// a quiet service's.
pub const HEALTH_WINDOWS: [Ms; 6] = [1_000, 2_000, 4_000, 8_000, 16_000, 30_000];
/// Standard deviations by which bad ends must exceed the others' rate: three where the others have none at all.
pub const BAD_SIGMA: f64 = 3.0;
/// Standard deviations from which on a version is doubted: it may stay and gets no more.
pub const DOUBT_SIGMA: f64 = 1.0;
/// ms. Windows in which a version that is about to be completed may not be doubted, and for how long doubt may hold
/// it back: what has just turned bad is condemned sooner, and an order has its time.
pub const FINAL_WINDOWS: [Ms; 2] = [1_000, 2_000];
pub const FINAL_DOUBT: Ms = 4_000;
/// Percent besides by which that rate must be exceeded, on however many requests.
pub const BESIDE_MARGIN: u64 = 3;
/// ms. Bad ends so close together may be one crash: streams end at once, edges tell of it within this.
pub const BAD_BURST: Ms = 800;
/// Bad ends by chance from which on some are expected beside a crash.
pub const SELDOM: f64 = 0.05;
/// Fewer bad ends than these are no burst: so few streams of one replica would not condemn a version either.
pub const BURST_LEAST: u64 = 3;
/// Doublings of the mean time to a first piece that make a version slow: 2.2 times, where bad ones take several.
pub const SLOW_DOUBLINGS: f64 = 1.125 * LOG_UNIT;
/// First pieces on both sides before times are compared: a mean of so many is within a third of a doubling.
pub const SLOW_FIRSTS: u64 = 12;
/// Part of the exposure bound that is used; the rest is for what edges do until they hear of a cut.
pub const EXPOSURE_KEPT: f64 = 0.8;
/// ms. Window over which the pace of requests is taken, and part of it that is counted on to go on.
pub const PACE_WINDOW: Ms = 4_000;
pub const PACE_WORST: f64 = 0.7;
/// ms. A plan's time is told in whole seconds and held against another clock.
pub const TERM_LATE: Ms = 1_000;
/// Percent of a service that a canary may take at most where its time is short.
pub const CANARY_MOST: u32 = 8;
/// Part of what may still be exposed that is spent while a good canary waits for its time to shift.
pub const HOLD_PART: f64 = 0.25;
/// ms. One step of shifting where the platform places versions, before any was seen: a write, edges' polls and
/// a second of streams.
pub const SHIFT_GUESS: Ms = 2_000;
/// Requests that a canary must have ended where all that is to come stays inside the exposure bound.
pub const CANARY_LIGHT: u64 = 3;
/// ms. A step's share must have been in force so long, and ended so many requests, before the next.
pub const STEP_HOLDS: Ms = 900;
pub const STEP_ENDED: u64 = 6;
/// ms. A step waits so long for requests that do not come.
pub const STEP_QUIET: Ms = 5_000;
/// ms. A withdrawn replica has ended when no edge had a stream there for so long: a poll, a hello and the way.
pub const DRY: Ms = 700;
/// ms. Least time that a step waits for streams that do not end, however late the plan.
pub const STREAMS_LEAST: Ms = 3_000;
/// Percent of its places that a side of a rollout may have taken before it is to carry no more.
pub const SIDE_FULL: u64 = 70;
/// ms. A version that is ordered again waits so long for its former replicas to leave the list.
pub const REUSE: Ms = 10_000;
/// Parts of a doubling in a time's logarithm: a twentieth of a time is more than any comparison needs.
pub const LOG_UNIT: f64 = 16.0;
/// ms. One step of loading, warming and retiring, where none has been seen yet: half of what either deployment
/// took in its first rollouts, and more than a warm-up.
pub const STEP_GUESS: Ms = 8_000;
/// ms. Unloading and clearing its flag.
pub const UNLOAD_GUESS: Ms = 2_000;
/// s. A forecast is written anew only when it has moved by more: each writing is a sync on a majority of disks.
pub const FORECAST_MOVES: u64 = 10;
/// ms. A loop step that has not moved for this long raises the stuck alert.
pub const STUCK_AFTER: Ms = 60_000;
/// ms. A loop that has not run for this long raises its alert; a handover takes a tenth of it.
pub const LOOP_RESTS: Ms = 60_000;
/// ms. A loading replica that takes longer is counted late and its start is not repeated before.
pub const LOAD_LATE: Ms = 15_000;
/// ms. Ramp of a cold replica from its first place to all of them.
pub const WARM_UP: Ms = 4_000;
/// Places a cold replica starts with.
pub const COLD_PLACES: u32 = 1;
/// Percent of a replica's places that a prefix's first pick may hold before others are tried.
pub const AFFINITY_BUSY: u32 = 75;
/// Percent. KV cache fuller than this takes a replica out for requests without a prefix there.
pub const KV_FULL: u32 = 95;
/// ms. A place chosen longer ago is chosen again before a call: the process slept, leases may have lapsed.
pub const PLACE_OLD: Ms = 300;
/// Percent of first rounds that may be second rounds.
pub const SECOND_ROUNDS: u64 = 5;
/// Second rounds a proxy may always spend, so that a quiet fleet can retry at all.
pub const SECOND_ROUNDS_FREE: u64 = 2;
/// Percent of a replica's places that tiers behind lose each time a request ahead of them finds none.
pub const PRESS_STEP: u32 = 5;
/// Percent they lose at most: all of them.
pub const PRESS_MOST: u32 = 100;
/// Percent they get back a second.
pub const PRESS_EBB: u64 = 20;
/// Requests one proxy lets wait for a place.
pub const WAITING: usize = 64;
/// ms. Least and most of Retry-After; the spread keeps rejected callers from returning together.
pub const RETRY_AFTER: (Ms, Ms) = (500, 4_000);
/// ms. An evacuated or leaving place's work is let end for this long after the longest time left.
pub const DRAIN_EXTRA: Ms = 2_000;
/// ms. Spacing of remembered sums.
pub const HEALTH_SPACING: Ms = 250;
/// ms. The same order to the same replica is not repeated before; replicas take orders at once and work on.
pub const REORDER: Ms = 1_000;
/// ms. How long a prefix is taken to stay in a replica's cache.
pub const PREFIX_KEPT: Ms = 120_000;
/// Prefixes remembered; the oldest go first.
pub const PREFIXES: usize = 20_000;
/// ms. A version that was capped stays so until it has shown nothing for this long.
pub const SUSPECT_FOR: Ms = 15_000;
/// Percent of its time left that a request may spend waiting for a place.
pub const WAIT_PERCENT: u64 = 20;
/// ms. Longest wait for a place: a rejection that comes later is no answer at once.
pub const WAIT_MAX: Ms = 600;
/// Ended requests over a lane's expected time by this factor count as slow.
pub const SLOW_FACTOR: u64 = 4;
/// Tokens of a prompt that a replica reads in a ms: what today's engines do between the tokens of others.
pub const READ_TOKENS_A_MS: f64 = 35.0;
/// Shared parts that are read again cost so many times their reading: others wait for it, and accelerators are dear.
pub const READ_AGAIN_WEIGHT: f64 = 4.2;
/// Weight of a long prompt in how often shared parts are asked for again: some two thousand of the last count.
pub const REUSE_WEIGHT: f64 = 0.0005;
/// ms. What any shared part read again costs besides: keeps small ones together where little speaks against it.
pub const SHARED_PART_MS: f64 = 8.0;
/// Bytes that a token takes on the way.
pub const TOKEN_BYTES: f64 = 2.0;
/// ms. What a byte between regions is worth in waiting.
pub const CROSS_REGION_BYTE_MS: f64 = 0.006;
/// ms there and back before any channel was opened: in a zone, in a region, between regions.
pub const ZONE_MS: f64 = 1.0;
pub const NEAR_MS: f64 = 3.0;
pub const FAR_MS: f64 = 80.0;
/// Weight of a new opening time against all before.
pub const TRAVEL_WEIGHT: f64 = 0.25;
/// ms. What each request that runs or waits on a replica costs the next.
pub const LOAD_MS: f64 = 4.0;
/// ms. What a full replica costs: more than any way.
pub const FULL_MS: f64 = 600.0;
/// ms. What the last place of a replica costs; half of its places cost a sixteenth of it.
pub const FILLING_MS: f64 = 300.0;
/// Weight of one replica's newest load or lag in the average of its service: some twenty of the last count.
pub const MEAN_WEIGHT: f64 = 0.05;
/// ms. What it costs to exceed the rate that the replica would bear if it turned cold now.
pub const RATE_MS: f64 = 60.0;
/// How many times rather a prompt that is long to read is placed on a replica that no more urgent, home-bound requests
/// depend on: these wait behind it elsewhere, and have nowhere else to go.
pub const NOT_NEEDED_WEIGHT: f64 = 2.0;
/// ms. A step down a prompt's agreed order of replicas, so that all proxies overflow to the same one.
pub const ORDER_MS: f64 = 3.0;
/// ms. A replica that waits for nobody's first piece longer than this is quiet: new requests go elsewhere.
pub const QUIET: Ms = 900;
/// ms, and rounds that went to another region since it last gave a sign of life: then it is left alone but for a look
/// so often. A channel opens in a tenth of it over any way.
pub const REGION_QUIET: Ms = 600;
pub const REGION_TRIES: u32 = 2;
/// Replicas of one zone in a row that cannot be reached, with no sign of life from the zone between: then it is the zone.
pub const ZONE_FAILURES: u32 = 2;
/// ms. It is looked at again after so long, doubled each time, at most so long: a channel opens in a tenth of the first.
pub const ZONE_LOOK_FIRST: Ms = 600;
pub const ZONE_LOOK_MOST: Ms = 2_400;
/// ms. A replica that failed is left alone for so long, doubled each time, at most so long.
pub const DOWN_FIRST: Ms = 250;
pub const DOWN_MOST: Ms = 2_000;
/// ms. A channel that rested for longer is taken to be no longer of use: what may run once takes none.
pub const CHANNEL_RESTS: Ms = 900;
/// ms. What opening a channel costs besides the way there and back: the replica's work and a price.
pub const OPENING_MS: f64 = 2.0;
/// ms. What it costs that one proxy of the region was lately failed by a replica: more than another replica beside it.
pub const DOUBT_MS: f64 = 80.0;
/// Proxies whose word counts: by then all requests that have another replica go there.
pub const DOUBT_MOST: f64 = 4.0;
/// ms. Doubt fades by e in this time: then somebody tries it again.
pub const DOUBT_FADES: f64 = 1_500.0;
/// Part of the doubt that stays when it answers well: one that fails half of what it gets stays in doubt.
pub const DOUBT_KEPT: f64 = 0.5;
/// Weight of a proxy's newest round at a replica in the part of them that it takes to fail: by three in a row it is
/// taken to fail more often than not, by one it is not.
pub const RISK_WEIGHT: f64 = 0.25;
/// ms. That part fades by e in this time while nothing is sent there: then somebody tries it again.
pub const RISK_FADES: f64 = 1_500.0;
/// Doubt from which on a replica gets none of the requests that are nominated, while others have places.
pub const DOUBT_SHUNS: f64 = 0.5;
/// Doubt from which on a failure is no news: others were told.
pub const DOUBT_NEWS: f64 = 1.5;
/// ms for each edge between two tellings of failures; they are few, and each that is not told costs another request.
pub const FAILING_EVERY: Ms = 2;
/// ms. A replica that was down for so long has started anew and is cold.
pub const DOWN_COLD: Ms = 400;
/// ms. What an answer told of its replica's load counts for so long.
pub const LOAD_OLD: Ms = 1_500;
/// Weight of a new lag of first pieces against all before, and the most ms that it counts.
pub const LAG_WEIGHT: f64 = 0.2;
pub const LAG_MOST: f64 = 400.0;
/// ms. A replica's lag fades towards the average of its service by e in this time: what made it late is over by then.
pub const LAG_FADES: f64 = 5_000.0;
/// Part of a cold replica's rate that all proxies together use: the rest covers their not knowing of each other.
pub const COLD_PART: f64 = 0.9;
/// Part of what a cold replica bears over its rate that proxies' first rounds may use up together.
pub const COLD_BURST_PART: f64 = 0.7;
/// ms. A count of edges that falls is believed after so long: those that went may only have been cut off.
pub const EDGES_FALL: Ms = 15_000;
/// ms. A slot of the budget's window.
pub const BUDGET_SLOT: Ms = 500;
/// Part of the budget that is spent: the rest covers daemons that started anew.
pub const BUDGET_KEPT: f64 = 0.7;
/// Shared parts remembered; some hundred bytes each would be too dear for more.
pub const KEPT_PARTS: usize = 8_000;
/// Shared parts smaller than this are not worth remembering, in tokens.
pub const KEPT_TOKENS: u32 = 200;
/// Bytes of one event of a stream that may be resumed; the largest seen are a hundredth of it.
pub const EVENT_MAX: usize = 64 << 10;
/// ms. Other proxies are told of prompts that take so long to read: a shorter one makes nobody late.
pub const READING_TOLD: f64 = 30.0;
/// ms for each edge between two tellings of what was sent: each agent then passes on the same, however large its fleet.
pub const READINGS_EVERY: Ms = 8;
/// Prompts in one telling; a second of a proxy's share of long ones is a tenth of it.
pub const READINGS_MOST: usize = 64;
/// ms. Most that prompts of other proxies count for: beyond it they have most likely gone elsewhere or failed.
pub const OTHERS_MOST: f64 = 4_000.0;
/// Chains that an edge counts: a summary of so many errs by at most a 128th of what was asked for lately.
pub const DEMAND_CHAINS: usize = 128;
/// Units of one ask: counts decay as whole numbers.
pub const ASK_UNIT: u64 = 256;
/// ms. An ask counts half after so long: some asks of a popular chain lie within it, and busy hours move more slowly.
pub const DEMAND_HALF: Ms = 15_000;
/// ms. Counts decay in steps of this.
pub const DECAY_EVERY: Ms = 1_000;
/// ms, at least and for each edge, between two tellings of what is asked for; and chains in one: the holder of the duty
/// hears 50 KB a second at most.
pub const DEMAND_EVERY: Ms = 1_000;
pub const DEMAND_EVERY_EDGE: Ms = 25;
pub const DEMAND_TOLD: usize = 32;
/// ms. What an edge told counts no more after so long, several tellings of the largest fleets.
pub const DEMAND_OLD: Ms = 30_000;
/// ms. A copy is planned for so long: less than a cache keeps what is asked for so often.
pub const STANDING_FOR: Ms = 30_000;
/// Copies in one record: with ids it stays some ten KB, which each edge gets at each change.
pub const STANDING_MOST: usize = 128;
/// ms. A record of copies is not written again before: each writing is a sync and a message to every edge.
pub const STANDING_EVERY: Ms = 3_000;
/// A copy is given back when it is worth less than this part of what would have it made.
pub const GIVE_BACK_PART: f64 = 0.25;
/// Asks in the window that one replica takes beside its other work: three a second, a fifth of what it reads.
pub const COPY_ASKS: f64 = 64.0;
/// Tokens of a prompt that are its own, where only its chain is known.
pub const OWN_TOKENS: u32 = 2_000;
/// Chains of fewer tokens are read sooner than a message crosses a region: they are not counted.
pub const CONTEXT_TOKENS: u32 = 1_000;
/// Part of a replica's places that may be taken while a copy is made on it: reading ahead takes no places from callers.
pub const READ_AHEAD_LOAD: f64 = 0.5;
/// Part of a chain's reading by which a first piece must be late to tell that the chain was read again.
pub const MISSED_PART: f64 = 0.8;
