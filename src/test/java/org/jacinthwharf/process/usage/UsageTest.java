package org.jacinthwharf.process.usage;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.Range;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.duty.Duty;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.process.settings.DutySettings;
import org.jacinthwharf.process.settings.Endpoint;
import org.jacinthwharf.wire.generated.CustomerCount;
import org.jacinthwharf.wire.generated.Hello;
import org.jacinthwharf.wire.generated.UsageReport;
import org.jacinthwharf.wire.generated.UsageReportAck;
import org.jacinthwharf.wire.generated.UsageWindow;
import org.junit.jupiter.api.Test;

/** Guards the counts of windows against losses, repeats, restarts, cuts and clocks that jump. */
final class UsageTest {
    private static final long WINDOW = 5_000;
    private static final long START = 1_000_000_000_000L;
    private static final long FIRST = START / WINDOW;
    private static final VmId MEMBER = VmId.of("10.0.0.1");
    private static final DutySettings SETTINGS =
            new DutySettings(
                    "m",
                    Endpoint.parse("10.9.9.9:80"),
                    EnumSet.allOf(Duty.class),
                    50,
                    3_000,
                    WINDOW,
                    10_000);

    private final ManualLoop mLoop = new ManualLoop(START);
    private long mNextWindow = FIRST;
    private UsageCollector mCollector = newCollector();

    private UsageCollector newCollector() {
        return new UsageCollector(
                SETTINGS, () -> mNextWindow, new FleetClock(mLoop), mLoop, new FleetMetrics());
    }

    /** A gateway with a link to the member; the test decides which messages pass. */
    private final class Gateway {
        final Hello mHello;
        final FleetClock mClock = new FleetClock(mLoop);
        final UsageCounter mCounter = new UsageCounter(WINDOW);
        final List<UsageReport> mSent = new ArrayList<>();
        final UsageReporter mReporter =
                new UsageReporter(
                        mCounter,
                        mClock,
                        mLoop,
                        (vm, m) -> mSent.add(m.getUsageReport()),
                        List::of);

        Gateway(int vm, long incarnation) {
            mHello = Hello.newBuilder().setVmId("10.1.0." + vm).setIncarnation(incarnation).build();
            mReporter.onUp(MEMBER);
        }

        void count(String customer, int requests) {
            for (int i = 0; i < requests; i++) {
                mCounter.count(customer, mClock.nowMillis());
            }
        }

        void report() {
            mReporter.tick();
            deliver();
        }

        void deliver() {
            for (UsageReport r : mSent) {
                mCollector.onReport(mHello, r);
                mReporter.onAck(MEMBER, ack(r));
            }
            mSent.clear();
        }
    }

    private UsageReportAck ack(UsageReport report) {
        return UsageReportAck.newBuilder()
                .setSequence(report.getSequence())
                .setWallMillis(mLoop.nowMillis())
                .build();
    }

    private UsageReport reportWithoutCounts(long sequence) {
        return UsageReport.newBuilder()
                .setSequence(sequence)
                .setWallMillis(mLoop.nowMillis())
                .build();
    }

    private Map<String, Long> ready() {
        Optional<UsageWindow> ready = mCollector.ready(mNextWindow);
        assertWithMessage("window %s is ready", mNextWindow).that(ready.isPresent()).isTrue();
        return counts(ready.get());
    }

    private static Map<String, Long> counts(UsageWindow window) {
        return window.getCountsList().stream()
                .collect(
                        Collectors.toMap(
                                CustomerCount::getCustomer,
                                CustomerCount::getRequests,
                                Long::sum,
                                TreeMap::new));
    }

    /** Lets time pass while the driver of a holder asks for the next window now and then. */
    private void pass(long millis) {
        long end = mLoop.mMillis + millis;
        while (mLoop.mMillis < end) {
            mLoop.mMillis = Math.min(end, mLoop.mMillis + 500);
            mCollector.ready(mNextWindow);
        }
    }

    /** Lets time pass while the member is paused. */
    private void pause(long millis) {
        mLoop.mMillis += millis;
    }

    @Test
    void countsOfAllGatewaysAreAddedOnceTheirWindowIsComplete() {
        Gateway a = new Gateway(1, 1);
        Gateway b = new Gateway(2, 1);
        a.count("x", 3);
        b.count("x", 4);
        b.count("y", 1);
        pass(4_900);
        a.report();
        b.report();
        pass(200);
        a.report();
        b.report();
        assertThat(mCollector.ready(mNextWindow)).isEqualTo(Optional.empty());
        pass(300);
        a.report();
        b.report();
        assertThat(ready()).containsExactly("x", 7L, "y", 1L);
    }

    /** A report that is sent again after a lost acknowledgement would be added twice. */
    @Test
    void repeatedReportsAreNotAddedTwice() {
        Gateway a = new Gateway(1, 1);
        a.count("x", 3);
        a.mReporter.tick();
        UsageReport first = a.mSent.get(0);
        mCollector.onReport(a.mHello, first);
        a.mSent.clear();
        pass(2_000);
        a.count("x", 2);
        a.report();
        mCollector.onReport(a.mHello, first);
        pass(4_000);
        a.report();
        assertThat(ready()).containsExactly("x", 5L);
    }

    /** Customers would not be charged for what a gateway took in before it was lost. */
    @Test
    void countsOfLostGatewaysStay() {
        Gateway a = new Gateway(1, 1);
        a.count("x", 3);
        a.report();
        Gateway b = new Gateway(2, 1);
        b.count("x", 1);
        pass(5_400);
        b.report();
        assertThat(mCollector.ready(mNextWindow)).isEqualTo(Optional.empty());
        pass(5_000);
        b.report();
        assertThat(ready()).containsExactly("x", 4L);
    }

    /** The counts of a restarted gateway begin at zero and add to those before. */
    @Test
    void restartedGatewaysAddToTheirEarlierCounts() {
        Gateway a = new Gateway(1, 1);
        a.count("x", 3);
        a.report();
        pass(1_000);
        Gateway again = new Gateway(1, 2);
        again.count("x", 2);
        pass(4_400);
        again.report();
        assertThat(ready()).containsExactly("x", 5L);
    }

    /** A failure domain that is cut off for some seconds would be missing in the report. */
    @Test
    void gatewaysThatAreCutOffAreWaitedFor() {
        Gateway a = new Gateway(1, 1);
        Gateway b = new Gateway(2, 1);
        a.report();
        b.report();
        b.count("x", 9);
        pass(8_000);
        a.report();
        assertThat(mCollector.ready(mNextWindow)).isEqualTo(Optional.empty());
        pass(1_000);
        b.report();
        a.report();
        assertThat(ready()).containsExactly("x", 9L);
    }

    /** A member that was paused would fix what it missed without the counts of that time. */
    @Test
    void membersThatWerePausedWaitForReports() {
        Gateway a = new Gateway(1, 1);
        a.count("x", 3);
        a.report();
        a.count("x", 4);
        pause(20_000);
        assertThat(mCollector.ready(mNextWindow)).isEqualTo(Optional.empty());
        pass(1_000);
        a.report();
        assertThat(mCollector.ready(mNextWindow)).isEqualTo(Optional.empty());
        pass(2_100);
        a.report();
        assertThat(ready()).containsExactly("x", 7L);
    }

    /** The window of a gateway that is slow to report must not be fixed without its counts. */
    @Test
    void gatewaysThatReportAreWaitedForBeyondTheLimit() {
        Gateway a = new Gateway(1, 1);
        pass(4_000);
        a.count("x", 3);
        a.report();
        pass(900);
        a.report();
        a.count("x", 4);
        mCollector.onReport(a.mHello, reportWithoutCounts(100));
        pass(5_100);
        mCollector.onReport(a.mHello, reportWithoutCounts(101));
        pass(1_000);
        assertThat(mCollector.ready(mNextWindow)).isEqualTo(Optional.empty());
    }

    /** A member that takes over would fix windows without the counts that others had. */
    @Test
    void restartedMembersGetAllThatIsKept() {
        Gateway a = new Gateway(1, 1);
        a.count("x", 3);
        a.report();
        pass(5_400);
        a.report();
        mCollector = newCollector();
        a.mReporter.onDown(MEMBER);
        assertThat(mCollector.ready(mNextWindow)).isEqualTo(Optional.empty());
        a.mReporter.onUp(MEMBER);
        pass(3_100);
        a.report();
        assertThat(ready()).containsExactly("x", 3L);
    }

    /** After an outage of the group, windows that no gateway keeps would be reported as empty. */
    @Test
    void windowsThatNobodyKeepsAreSkipped() {
        Gateway a = new Gateway(1, 1);
        pass(40 * WINDOW);
        a.count("x", 3);
        a.report();
        pass(WINDOW + 400);
        a.report();
        UsageWindow first = mCollector.ready(mNextWindow).orElseThrow();
        assertThat(first.getWindow()).isEqualTo(FIRST + 41 - UsageCounter.KEPT_WINDOWS + 1);
    }

    /** One wall clock that jumps would put requests into the windows of another time. */
    @Test
    void jumpOfOneClockMovesNoCounts() {
        ManualLoop other = new ManualLoop(START);
        FleetClock clock = new FleetClock(other);
        clock.onReading("10.0.0.1", START);
        clock.onReading("10.0.0.2", START + 3);
        other.mWallOffset = 3_600_000;
        assertThat(clock.nowMillis()).isIn(Range.closed(START, START + 3));
        other.mWallOffset = 0;
        clock.onReading("10.0.0.2", START - 3_600_000);
        assertThat(clock.nowMillis()).isEqualTo(START);
    }

    /** The counts of a deployment that has many customers and windows must stay bounded. */
    @Test
    void onlyTheLastWindowsAreKept() {
        Gateway a = new Gateway(1, 1);
        for (int i = 0; i < 100; i++) {
            a.count("x", 1);
            pass(WINDOW);
        }
        assertThat(a.mCounter.windows()).hasSize(UsageCounter.KEPT_WINDOWS);
    }

    /** Whatever messages are lost, late or repeated, the last report makes the sums right. */
    @Test
    void sumsAreRightOverRandomLosses() {
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            mLoop.mMillis = START;
            mCollector = newCollector();
            List<Gateway> gateways = List.of(new Gateway(1, 1), new Gateway(2, 1));
            long[] asked = new long[2];
            List<Runnable> delayed = new ArrayList<>();
            for (int step = 0; step < 48; step++) {
                int i = random.nextInt(2);
                Gateway gateway = gateways.get(i);
                int requests = random.nextInt(4);
                gateway.count("c" + i, requests);
                asked[i] += requests;
                gateway.mReporter.tick();
                for (UsageReport r : gateway.mSent) {
                    Runnable arrival =
                            () -> {
                                mCollector.onReport(gateway.mHello, r);
                                if (random.nextBoolean()) {
                                    gateway.mReporter.onAck(MEMBER, ack(r));
                                }
                            };
                    switch (random.nextInt(4)) {
                        case 0 -> {}
                        case 1 -> delayed.add(arrival);
                        case 2 -> {
                            arrival.run();
                            arrival.run();
                        }
                        default -> arrival.run();
                    }
                }
                gateway.mSent.clear();
                if (!delayed.isEmpty() && random.nextInt(3) == 0) {
                    delayed.remove(random.nextInt(delayed.size())).run();
                }
                pass(100);
            }
            pass(2_000);
            gateways.forEach(Gateway::report);
            Map<String, Long> expected = new TreeMap<>();
            for (int i = 0; i < 2; i++) {
                if (asked[i] > 0) {
                    expected.put("c" + i, asked[i]);
                }
            }
            assertWithMessage("seed %s", seed).that(ready()).isEqualTo(expected);
        }
    }
}
