package org.jacinthwharf.process.consensus;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableSortedSet;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Stream;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.LogEntry;

/**
 * A single-threaded Raft group with simulated time, network and disks that checks safety
 * properties.
 *
 * <p>Not thread-safe. Runs are deterministic for a seed. Checked at every event: one leader per
 * term; equal entries for equal index and term; leaders hold all committed entries; members apply
 * the same commands; acknowledged commands are never lost.
 */
final class SimulatedGroup {
    // Thousands of logged state changes and refused writes would obscure failures in the output.
    private static final Logger NODE_LOGGER = Logger.getLogger(RaftNode.class.getName());

    static {
        NODE_LOGGER.setLevel(Level.OFF);
    }

    final Map<String, Member> mMembers = new TreeMap<>();
    final Set<String> mAcknowledged = new LinkedHashSet<>();
    final Random mRandom;
    double mLoss;
    long mMaxDelayNanos = Duration.ofMillis(5).toNanos();
    long mNowNanos;
    int mSent;

    private ImmutableSortedSet<VmId> mConfigured;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
    private final Set<String> mIsolated = new HashSet<>();
    private final Map<Long, String> mLeaders = new HashMap<>();
    private final Map<String, String> mEntries = new HashMap<>();
    private final Map<Long, Long> mCommitTerms = new HashMap<>();
    private final Map<Long, String> mApplied = new TreeMap<>();
    private long mEventCount;
    private int mDisks;
    private int mCommands;

    private record Event(long atNanos, long number, Runnable task) {}

    SimulatedGroup(long seed, String... configured) {
        mRandom = new Random(seed);
        setConfigured(Arrays.stream(configured));
        for (String vm : configured) {
            mMembers.put(vm, new Member(vm));
        }
    }

    static SimulatedGroup started(long seed, String... configured) {
        SimulatedGroup g = new SimulatedGroup(seed, configured);
        g.mMembers.values().forEach(Member::start);
        g.runUntil("first leader", () -> g.leader().isPresent());
        return g;
    }

    /** Starts a member on a VM that was not configured at the first start. */
    Member startNewVm(String vm) {
        Member m = new Member(vm);
        mMembers.put(vm, m);
        m.start();
        return m;
    }

    /** Takes a VM away for good; members that start later are configured with those left. */
    void remove(String vm) {
        mMembers.remove(vm).crash();
        setConfigured(mMembers.keySet().stream().limit(3));
    }

    private void setConfigured(Stream<String> vms) {
        mConfigured =
                vms.map(VmId::of)
                        .collect(
                                ImmutableSortedSet.toImmutableSortedSet(Comparator.naturalOrder()));
    }

    void at(long nanos, Runnable task) {
        mEvents.add(new Event(nanos, mEventCount++, task));
    }

    void run(Duration time) {
        long end = mNowNanos + time.toNanos();
        while (!mEvents.isEmpty() && mEvents.peek().atNanos() <= end) {
            step();
        }
        mNowNanos = end;
    }

    void runUntil(String what, BooleanSupplier condition) {
        long end = mNowNanos + Duration.ofSeconds(30).toNanos();
        while (!condition.getAsBoolean()) {
            assertWithMessage("%s within 30 s", what).that(mNowNanos).isLessThan(end);
            step();
        }
    }

    /** Isolates the VM from all others, or reconnects it. */
    void setIsolated(String vm, boolean isolated) {
        if (isolated) {
            mIsolated.add(vm);
        } else {
            mIsolated.remove(vm);
        }
    }

    Optional<Member> leader() {
        return mMembers.values().stream()
                .filter(m -> m.isRunning() && !mIsolated.contains(m.mVm))
                .filter(m -> m.status().role() == RaftStatus.Role.LEADER)
                .max(Comparator.comparingLong(m -> m.status().term()));
    }

    /** Proposes a new command to the current leader, if there is one. */
    String propose() {
        String command = "c" + mCommands++;
        leader().ifPresent(m -> m.propose(command));
        return command;
    }

    /** Proposes until a command is acknowledged. */
    void commitOne() {
        String[] last = {propose()};
        runUntil(
                "commit",
                () -> {
                    if (mAcknowledged.contains(last[0])) {
                        return true;
                    }
                    if (mRandom.nextInt(200) == 0) {
                        last[0] = propose();
                    }
                    return false;
                });
    }

    /** Heals all faults and checks that all members apply every acknowledged command. */
    void healAndCheckAcknowledged() {
        mLoss = 0;
        mIsolated.clear();
        mMembers.values().stream().filter(m -> !m.isRunning()).forEach(Member::start);
        commitOne();
        for (Member m : mMembers.values()) {
            runUntil(m.mVm + " catches up", () -> m.mState.containsAll(mAcknowledged));
        }
    }

    private void step() {
        Event e = mEvents.remove();
        mNowNanos = Math.max(mNowNanos, e.atNanos());
        e.task().run();
        for (Member m : mMembers.values()) {
            if (m.isRunning() && m.status().role() == RaftStatus.Role.LEADER) {
                String other = mLeaders.putIfAbsent(m.status().term(), m.mVm);
                assertWithMessage("leader of term %s", m.status().term())
                        .that(m.mVm)
                        .isEqualTo(other == null ? m.mVm : other);
            }
        }
    }

    private void send(String from, VmId to, Envelope e) {
        mSent++;
        checkLogMatching(e);
        boolean isolated = mIsolated.contains(from) || mIsolated.contains(to.value());
        if (isolated || mRandom.nextDouble() < mLoss || !mMembers.containsKey(to.value())) {
            return;
        }
        if (mMembers.get(to.value()).isRefusing()) {
            Member sender = mMembers.get(from);
            sender.later(sender.mIncarnation, 1_000_000, () -> sender.mNode.onRefused(to));
            return;
        }
        // Independent delays reorder messages.
        at(
                mNowNanos + 500_000 + mRandom.nextLong(mMaxDelayNanos),
                () -> {
                    Member m = mMembers.get(to.value());
                    if (m != null
                            && m.isRunning()
                            && !mIsolated.contains(from)
                            && !mIsolated.contains(to.value())) {
                        m.run(m.mIncarnation, () -> m.mNode.receive(e));
                    }
                });
    }

    private void checkLogMatching(Envelope envelope) {
        if (!envelope.hasRaftAppend()) {
            return;
        }
        long previousTerm = envelope.getRaftAppend().getPreviousTerm();
        for (LogEntry e : envelope.getRaftAppend().getEntriesList()) {
            String content = previousTerm + " " + e;
            String other = mEntries.putIfAbsent(e.getIndex() + "/" + e.getTerm(), content);
            assertWithMessage("log matching")
                    .that(content)
                    .isEqualTo(other == null ? content : other);
            previousTerm = e.getTerm();
            Long commitTerm = mCommitTerms.get(e.getIndex());
            if (commitTerm != null && envelope.getRaftAppend().getTerm() > commitTerm) {
                assertWithMessage("leader completeness at %s", e.getIndex())
                        .that(e.getCommand().toStringUtf8())
                        .isEqualTo(mApplied.get(e.getIndex()));
            }
        }
    }

    /** One VM with its disk and, while it runs, its process. */
    final class Member {
        final String mVm;
        CrashingFolder mFolder = new CrashingFolder(mRandom);
        List<String> mState = new ArrayList<>();
        RaftNode mNode;
        int mReplayed;
        boolean mMayFound = true;
        StorageOpenResult mOpenResult;
        Optional<LeaveOutcome> mLeaveOutcome = Optional.empty();
        Duration mMaxWriteTime = Duration.ofMillis(8);
        private int mIncarnation;
        private boolean mRunning;
        private boolean mRefusing;
        private long mSuspendedUntilNanos;

        Member(String vm) {
            mVm = vm;
        }

        boolean isRunning() {
            return mRunning;
        }

        RaftStatus status() {
            return mNode.status();
        }

        /** Returns whether the VM runs without a process, so that it refuses connections. */
        boolean isRefusing() {
            return mRefusing && !mRunning;
        }

        void start() {
            try {
                mOpenResult = RaftStorage.open(mFolder, VmId.of(mVm), () -> "disk" + mDisks++);
            } catch (CrashingFolder.CrashException e) {
                crash();
                return;
            }
            if (!(mOpenResult instanceof StorageOpenResult.Opened opened)) {
                return;
            }
            mIncarnation++;
            mRunning = true;
            mRefusing = false;
            mLeaveOutcome = Optional.empty();
            mState = new ArrayList<>();
            mReplayed = 0;
            int incarnation = mIncarnation;
            mNode =
                    new RaftNode(
                            new RaftSettings(VmId.of(mVm), mConfigured, mMayFound),
                            opened.storage(),
                            new CommandList(this),
                            new SimulatedLoop(this, incarnation),
                            task ->
                                    later(
                                            incarnation,
                                            mRandom.nextLong(mMaxWriteTime.toNanos()),
                                            task),
                            (to, e) -> send(mVm, to, e),
                            mRandom);
            mNode.start();
        }

        /** Crashes the process and loses unsynced bytes. */
        void crash() {
            mRunning = false;
            mIncarnation++;
            mFolder.losePower();
        }

        /** Kills the process; the VM goes on, and its disk holds what was synced. */
        void kill() {
            crash();
            mRefusing = true;
        }

        /** Ends the process as planned; it leaves the group first, within {@code limit}. */
        void terminate(Duration limit) {
            int incarnation = mIncarnation;
            run(
                    incarnation,
                    () ->
                            mNode.leave(limit)
                                    .thenAccept(
                                            outcome ->
                                                    later(
                                                            incarnation,
                                                            0,
                                                            () -> {
                                                                kill();
                                                                mLeaveOutcome =
                                                                        Optional.of(outcome);
                                                            })));
        }

        /** Crashes the member and replaces its disk by an empty one. */
        void loseDisk() {
            crash();
            mFolder = new CrashingFolder(mRandom);
        }

        void suspend(Duration time) {
            mSuspendedUntilNanos = mNowNanos + time.toNanos();
        }

        void propose(String command) {
            run(
                    mIncarnation,
                    () ->
                            mNode.propose(ByteString.copyFromUtf8(command))
                                    .thenAccept(
                                            outcome -> {
                                                if (outcome instanceof ProposeOutcome.Applied) {
                                                    mAcknowledged.add(command);
                                                }
                                            }));
        }

        long now() {
            return mNowNanos;
        }

        void later(int incarnation, long delayNanos, Runnable task) {
            at(mNowNanos + delayNanos, () -> run(incarnation, task));
        }

        void run(int incarnation, Runnable task) {
            if (!mRunning || incarnation != mIncarnation) {
                return;
            }
            if (mNowNanos < mSuspendedUntilNanos) {
                at(mSuspendedUntilNanos, () -> run(incarnation, task));
                return;
            }
            try {
                task.run();
            } catch (CrashingFolder.CrashException e) {
                crash();
            }
        }

        void applied(long index, String command) {
            mReplayed++;
            mState.add(command);
            String other = mApplied.putIfAbsent(index, command);
            assertWithMessage("state machine safety at %s", index)
                    .that(command)
                    .isEqualTo(other == null ? command : other);
            mCommitTerms.putIfAbsent(index, status().term());
        }
    }

    private record CommandList(Member member) implements StateMachine {
        @Override
        public ByteString apply(long index, ByteString command) {
            member.applied(index, command.toStringUtf8());
            return command;
        }

        @Override
        public ByteString snapshot() {
            return ByteString.copyFromUtf8(String.join("\n", member.mState));
        }

        @Override
        public void restore(ByteString snapshot) {
            member.mState = new ArrayList<>(snapshot.toStringUtf8().lines().toList());
        }
    }

    private record SimulatedLoop(Member member, int incarnation) implements EventLoop {
        @Override
        public void execute(Runnable task) {
            member.later(incarnation, 0, task);
        }

        @Override
        public void schedule(Duration delay, Runnable task) {
            member.later(incarnation, delay.toNanos(), task);
        }

        @Override
        public void scheduleRepeatedly(Duration period, Runnable task) {
            schedule(
                    period,
                    () -> {
                        task.run();
                        scheduleRepeatedly(period, task);
                    });
        }

        @Override
        public long nowNanos() {
            return member.now();
        }

        @Override
        public long nowMillis() {
            return nowNanos() / 1_000_000;
        }
    }
}
