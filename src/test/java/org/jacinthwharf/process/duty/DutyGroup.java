package org.jacinthwharf.process.duty;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.consensus.ProposeOutcome;
import org.jacinthwharf.process.consensus.RaftStatus;
import org.jacinthwharf.process.consensus.ReplicatedLog;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.process.settings.DutySettings;
import org.jacinthwharf.process.settings.Endpoint;
import org.jacinthwharf.wire.generated.CapacityOrder;
import org.jacinthwharf.wire.generated.Command;
import org.jacinthwharf.wire.generated.CustomerCount;
import org.jacinthwharf.wire.generated.UsageWindow;

/**
 * Control members that share one log and call one outside interface, in one thread and on one
 * clock. The leader is set by the test; a member that was the leader may not know it yet.
 */
final class DutyGroup {
    static final long LEASE_MILLIS = 3_000;

    /** Longest time for which a holder may act on what it knew before a pause. */
    private static final long PAUSE_SLACK_MILLIS = 300;

    private static final long WINDOW_MILLIS = 5_000;
    private static final long START_MILLIS = 1_000_000_000_000L;

    final List<Member> mMembers = new ArrayList<>();
    final List<String> mViolations = new ArrayList<>();
    final SplittableRandom mRandom;
    int mAccepted;

    /** Part of the calls that get no answer and are carried out later. */
    double mLatePart;

    private final List<ByteString> mLog = new ArrayList<>();
    private final PriorityQueue<Task> mTasks = new PriorityQueue<>();
    private final Map<Long, Map<String, Long>> mReports = new HashMap<>();
    private final Map<String, String> mTokenHolders = new HashMap<>();
    private final Map<Duty, Long> mHighest = new HashMap<>();
    private final Map<Duty, List<Act>> mActs = new HashMap<>();
    private long mNowMillis;
    private long mTaskNumber;
    private int mLeader = -1;
    private long mTerm;

    private record Task(long atMillis, long number, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            return atMillis != other.atMillis
                    ? Long.compare(atMillis, other.atMillis)
                    : Long.compare(number, other.number);
        }
    }

    private record Act(String vm, long atMillis) {}

    DutyGroup(int members, SplittableRandom random) {
        mRandom = random;
        for (int i = 0; i < members; i++) {
            mMembers.add(new Member(i));
        }
    }

    /** Makes a member the leader; the earlier leader goes on believing that it leads. */
    void elect(int member) {
        mLeader = member;
        mTerm++;
        Member leader = mMembers.get(member);
        leader.mTerm = mTerm;
        leader.mLeads = true;
        leader.catchUp();
    }

    void after(long millis, Runnable action) {
        mTasks.add(new Task(mNowMillis + millis, mTaskNumber++, action));
    }

    void run(long millis) {
        long end = mNowMillis + millis;
        while (!mTasks.isEmpty() && mTasks.peek().atMillis() <= end) {
            Task task = mTasks.poll();
            mNowMillis = task.atMillis();
            task.action().run();
        }
        mNowMillis = end;
    }

    // --- The outside interface ------------------------------------------------------------------

    private OutsideAnswer carryOut(Member from, OutsideCall call, long sentMillis) {
        Duty duty = call.duty();
        if (call.token() < mHighest.getOrDefault(duty, 0L)) {
            return OutsideAnswer.FENCED;
        }
        mHighest.put(duty, call.token());
        mAccepted++;
        String holder = mTokenHolders.putIfAbsent(duty + "/" + call.token(), from.vm());
        if (holder != null && !holder.equals(from.vm())) {
            mViolations.add("token " + call.token() + " of " + holder + " and " + from.vm());
        }
        if (call instanceof OutsideCall.Usage u) {
            Map<String, Long> first = mReports.putIfAbsent(u.window(), u.counts());
            if (first != null && !first.equals(u.counts())) {
                mViolations.add("two contents of window " + u.window());
            }
        }
        checkTurns(duty, new Act(from.vm(), sentMillis));
        return OutsideAnswer.DONE;
    }

    private void checkTurns(Duty duty, Act act) {
        List<Act> acts = mActs.computeIfAbsent(duty, d -> new ArrayList<>());
        boolean other = false;
        for (int i = acts.size() - 1; i >= 0; i--) {
            Act earlier = acts.get(i);
            if (act.atMillis() - earlier.atMillis() >= LEASE_MILLIS) {
                break;
            }
            if (!earlier.vm().equals(act.vm())) {
                other = true;
            } else if (other) {
                mViolations.add(duty + ": " + act.vm() + " acts again within the lease");
                break;
            }
        }
        acts.add(act);
    }

    int reportedWindows() {
        return mReports.size();
    }

    // --- Members --------------------------------------------------------------------------------

    /** One control member; its clocks may differ from those of the others. */
    final class Member implements ReplicatedLog, EventLoop, UsageSource, ScalingSource {
        final int mIndex;
        DutyState mState = new DutyState();
        DutyDriver mDriver;
        boolean mFrozen;
        boolean mSuspended;
        long mWallOffset;
        int mWanted = 5;
        private long mSuspendedMillis;
        private long mFrozenSince;
        private long mConfirmMillis;
        private boolean mLeads;
        private long mTerm;
        private int mApplied;
        private final List<Runnable> mHeld = new ArrayList<>();

        Member(int index) {
            mIndex = index;
            mDriver = newDriver();
            after(0, this::tick);
        }

        String vm() {
            return "10.0.0." + (mIndex + 1);
        }

        private DutyDriver newDriver() {
            return new DutyDriver(
                    VmId.of(vm()),
                    new DutySettings(
                            "control-" + mIndex,
                            Endpoint.parse("10.9.9.9:80"),
                            EnumSet.allOf(Duty.class),
                            50,
                            LEASE_MILLIS,
                            WINDOW_MILLIS,
                            10_000),
                    mState,
                    this,
                    this,
                    this::callOutside,
                    this,
                    this,
                    new FleetMetrics(),
                    mRandom);
        }

        private void tick() {
            after(100, this::tick);
            if (!mFrozen) {
                if (mLeader == mIndex) {
                    catchUp();
                }
                mDriver.tick();
            }
        }

        private void catchUp() {
            while (mApplied < mLog.size()) {
                try {
                    mState.apply(Command.parseFrom(mLog.get(mApplied++)));
                } catch (InvalidProtocolBufferException e) {
                    throw new IllegalStateException(e);
                }
            }
        }

        /** Stops the process, with its clocks going on or, if the VM is suspended, one of them. */
        void freeze(boolean suspend) {
            mFrozen = true;
            mSuspended = suspend;
            mFrozenSince = mNowMillis;
        }

        void resume() {
            if (mSuspended) {
                mSuspendedMillis += mNowMillis - mFrozenSince;
            }
            mFrozen = false;
            List<Runnable> held = List.copyOf(mHeld);
            mHeld.clear();
            held.forEach(Runnable::run);
        }

        /** Notices that another member leads. */
        void learnOfLeader() {
            if (mLeader != mIndex) {
                mLeads = false;
                mTerm = DutyGroup.this.mTerm;
                catchUp();
            }
        }

        /** Starts again with an empty disk: the log comes from the others. */
        void restart() {
            mState = new DutyState();
            mApplied = 0;
            mLeads = false;
            mHeld.clear();
            mDriver = newDriver();
            if (mLeader == mIndex) {
                mLeader = -1;
            }
        }

        private void whenRunning(long millis, Runnable action) {
            DutyDriver driver = mDriver;
            after(
                    millis,
                    () -> {
                        if (driver != mDriver) {
                            return; // The process has restarted.
                        }
                        if (mFrozen) {
                            mHeld.add(action);
                        } else {
                            action.run();
                        }
                    });
        }

        private CompletableFuture<OutsideAnswer> callOutside(
                OutsideCall call, BooleanSupplier maySend) {
            CompletableFuture<OutsideAnswer> result = new CompletableFuture<>();
            // A new connection takes a while.
            whenRunning(
                    mRandom.nextInt(3) == 0 ? 400 : 2,
                    () -> {
                        if (!maySend.getAsBoolean()) {
                            result.complete(OutsideAnswer.NOT_SENT);
                            return;
                        }
                        long sent = mNowMillis;
                        if (sent - mConfirmMillis > PAUSE_SLACK_MILLIS) {
                            mViolations.add(vm() + " calls on a confirmation of " + mConfirmMillis);
                        }
                        if (mRandom.nextDouble() < mLatePart) {
                            after(2_000 + mRandom.nextInt(10_000), () -> lateCall(call, sent));
                            whenRunning(1_000, () -> result.complete(OutsideAnswer.UNKNOWN));
                            return;
                        }
                        OutsideAnswer answer = carryOut(this, call, sent);
                        whenRunning(2, () -> result.complete(answer));
                    });
            return result;
        }

        private void lateCall(OutsideCall call, long sentMillis) {
            carryOut(this, call, sentMillis);
        }

        // --- ReplicatedLog ----------------------------------------------------------------------

        @Override
        public CompletableFuture<ProposeOutcome> propose(ByteString command) {
            CompletableFuture<ProposeOutcome> result = new CompletableFuture<>();
            boolean commits = mLeader == mIndex && mTerm == DutyGroup.this.mTerm;
            if (commits) {
                mLog.add(command);
            }
            whenRunning(
                    commits ? 3 : 500,
                    () -> {
                        if (commits) {
                            catchUp();
                            result.complete(new ProposeOutcome.Applied(ByteString.EMPTY));
                        } else {
                            result.complete(new ProposeOutcome.Unknown());
                        }
                    });
            return result;
        }

        @Override
        public CompletableFuture<Boolean> confirmLeadership() {
            CompletableFuture<Boolean> result = new CompletableFuture<>();
            boolean leads = mLeader == mIndex && mTerm == DutyGroup.this.mTerm;
            mConfirmMillis = mNowMillis;
            whenRunning(leads ? 3 : 700, () -> result.complete(leads));
            return result;
        }

        @Override
        public RaftStatus status() {
            return new RaftStatus(
                    mLeads ? RaftStatus.Role.LEADER : RaftStatus.Role.FOLLOWER,
                    mTerm,
                    Optional.empty(),
                    mLog.size(),
                    mApplied,
                    ImmutableList.of(),
                    false);
        }

        // --- Clocks -----------------------------------------------------------------------------

        @Override
        public long nowNanos() {
            return 1_000_000L * (mNowMillis - mSuspendedMillis);
        }

        @Override
        public long nowMillis() {
            return START_MILLIS + mNowMillis + mWallOffset;
        }

        @Override
        public void execute(Runnable task) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void schedule(Duration delay, Runnable task) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void scheduleRepeatedly(Duration period, Runnable task) {
            throw new UnsupportedOperationException();
        }

        // --- Sources ----------------------------------------------------------------------------

        /** Each member has counts of its own for a window. */
        @Override
        public Optional<UsageWindow> ready(long nextWindow) {
            if (fleetMillis() < (nextWindow + 1) * WINDOW_MILLIS + 300) {
                return Optional.empty();
            }
            TreeMap<String, Long> counts = new TreeMap<>();
            counts.put("c", nextWindow * 10 + mIndex);
            return Optional.of(
                    UsageWindow.newBuilder()
                            .setWindow(nextWindow)
                            .addCounts(
                                    CustomerCount.newBuilder()
                                            .setCustomer("c")
                                            .setRequests(counts.get("c")))
                            .build());
        }

        @Override
        public long fleetMillis() {
            return START_MILLIS + mNowMillis;
        }

        @Override
        public List<CapacityOrder> wanted(List<CapacityOrder> lastOrders) {
            return List.of(
                    CapacityOrder.newBuilder()
                            .setService("s")
                            .setFailureDomain("west")
                            .setServers(mWanted)
                            .setReason("test")
                            .build());
        }
    }
}
