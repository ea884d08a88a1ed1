package org.jacinthwharf.process.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Supplier;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.wire.generated.CustomerCount;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.ServiceDemand;
import org.jacinthwharf.wire.generated.UsageReport;
import org.jacinthwharf.wire.generated.UsageReportAck;
import org.jacinthwharf.wire.generated.UsageWindow;

/**
 * Reports the counts and the demand of a gateway to all control members, so that each of them can
 * take over as holder of a duty.
 *
 * <p>Used on the event loop only. Invariant: a count that changed is sent to a member until the
 * member has acknowledged it; at most one report to a member is under way.
 */
public final class UsageReporter {
    /** Longer than a round trip under load; links drop messages. */
    private static final long ACK_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Time after the end of a window in which the last first events of it are counted. */
    private static final long SETTLE_MILLIS = 300;

    private final UsageCounter mCounter;
    private final FleetClock mClock;
    private final EventLoop mLoop;
    private final BiPredicate<VmId, Envelope> mSender;
    private final Supplier<Iterable<ServiceDemand>> mDemands;
    private final Map<VmId, Member> mMembers = new TreeMap<>();
    private long mSequence;

    private static final class Member {
        Map<Long, Map<String, Long>> mAcknowledged = new HashMap<>();
        Map<Long, Map<String, Long>> mSent = new HashMap<>();
        long mSentSequence;
        long mSentNanos;
        boolean mUnderWay;
    }

    /**
     * Creates a reporter without members.
     *
     * @param sender sends a message to a member; returns false if the link did not take it
     * @param demands returns what callers ask of each service
     */
    public UsageReporter(
            UsageCounter counter,
            FleetClock clock,
            EventLoop loop,
            BiPredicate<VmId, Envelope> sender,
            Supplier<Iterable<ServiceDemand>> demands) {
        mCounter = counter;
        mClock = clock;
        mLoop = loop;
        mSender = sender;
        mDemands = demands;
    }

    /** Begins to report to a member, from the beginning: it may have restarted. */
    public void onUp(VmId member) {
        mMembers.put(member, new Member());
    }

    /** Ends the reports to a member. */
    public void onDown(VmId member) {
        mMembers.remove(member);
    }

    /**
     * Sends each member what it does not know yet; called each second, since what is counted in
     * between is lost with a gateway.
     */
    public void tick() {
        Iterable<ServiceDemand> demands = mDemands.get();
        mMembers.forEach((vm, member) -> send(vm, member, demands));
    }

    private void send(VmId vm, Member member, Iterable<ServiceDemand> demands) {
        long now = mLoop.nowNanos();
        if (member.mUnderWay && now - member.mSentNanos < ACK_TIMEOUT_NANOS) {
            return;
        }
        long fleetMillis = mClock.nowMillis();
        UsageReport.Builder report =
                UsageReport.newBuilder()
                        .setSequence(++mSequence)
                        .setWallMillis(mLoop.nowMillis())
                        .setCompleteWindow(mCounter.windowAt(fleetMillis - SETTLE_MILLIS) - 1)
                        .addAllDemands(demands);
        Map<Long, Map<String, Long>> counts = new HashMap<>();
        mCounter.windows()
                .forEach(
                        (window, byCustomer) -> {
                            counts.put(window, new HashMap<>(byCustomer));
                            addChanges(report, window, byCustomer, member.mAcknowledged);
                        });
        if (mSender.test(vm, Envelope.newBuilder().setUsageReport(report).build())) {
            member.mSent = counts;
            member.mSentSequence = mSequence;
            member.mSentNanos = now;
            member.mUnderWay = true;
        }
    }

    private static void addChanges(
            UsageReport.Builder report,
            long window,
            Map<String, Long> byCustomer,
            Map<Long, Map<String, Long>> acknowledged) {
        Map<String, Long> known = acknowledged.getOrDefault(window, Map.of());
        UsageWindow.Builder changes = UsageWindow.newBuilder().setWindow(window);
        byCustomer.forEach(
                (customer, requests) -> {
                    if (!requests.equals(known.get(customer))) {
                        changes.addCounts(
                                CustomerCount.newBuilder()
                                        .setCustomer(customer)
                                        .setRequests(requests));
                    }
                });
        if (changes.getCountsCount() > 0) {
            report.addWindows(changes);
        }
    }

    /** Handles a member's acknowledgement. */
    public void onAck(VmId vm, UsageReportAck ack) {
        mClock.onReading(vm.value(), ack.getWallMillis());
        Member member = mMembers.get(vm);
        if (member != null && member.mUnderWay && ack.getSequence() == member.mSentSequence) {
            member.mAcknowledged = member.mSent;
            member.mUnderWay = false;
        }
    }
}
