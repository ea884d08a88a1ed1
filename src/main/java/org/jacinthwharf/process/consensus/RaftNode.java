package org.jacinthwharf.process.consensus;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.LogEntry;

/**
 * Runs one member of a Raft group on the event loop.
 *
 * <p>Called on the event loop only. Invariants: the state machine receives each committed entry
 * once, in order; writes run one at a time on the storage executor, so that a slow sync does not
 * delay heartbeats, and changes made meanwhile share the next sync; after a failed write the member
 * retries with its whole state, and promises nothing before a write has succeeded.
 */
public final class RaftNode implements ReplicatedLog {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration TICK_INTERVAL = Duration.ofMillis(30);
    private static final Duration WRITE_RETRY_INTERVAL = Duration.ofMillis(500);

    /** Number of applied entries between snapshots; bounds the replay after a restart. */
    static final int SNAPSHOT_INTERVAL_ENTRIES = 1_000;

    /** Bounds the memory for commands while a majority is slow or unreachable. */
    static final int MAX_PENDING_PROPOSALS = 2_000;

    private static final long SNAPSHOT_INTERVAL_BYTES = 4 << 20;

    private final RaftCore mCore;
    private final RaftStorage mStorage;
    private final StateMachine mStateMachine;
    private final EventLoop mLoop;
    private final Executor mStorageExecutor;
    private final RaftTransport mTransport;
    private final Map<Long, Proposal> mProposals = new HashMap<>();
    private final Map<Long, CompletableFuture<Boolean>> mPendingReads = new HashMap<>();
    private final List<RaftEffects.ConfirmedRead> mConfirmedReads = new ArrayList<>();
    private long mAppliedIndex;
    private long mBytesSinceSnapshot;
    private long mNextReadId;
    private Optional<CompletableFuture<LeaveOutcome>> mLeave = Optional.empty();
    private boolean mStopped;
    private boolean mProcessingEffects;
    private String mLoggedState = "";

    private record Proposal(long term, CompletableFuture<ProposeOutcome> outcome) {}

    /**
     * Creates a member and restores the state machine from the stored snapshot.
     *
     * @param storageExecutor runs writes; must run them one at a time
     * @param random source of the election jitter
     */
    public RaftNode(
            RaftSettings settings,
            RaftStorage storage,
            StateMachine stateMachine,
            EventLoop loop,
            Executor storageExecutor,
            RaftTransport transport,
            RandomGenerator random) {
        mStorage = storage;
        mStateMachine = stateMachine;
        mLoop = loop;
        mStorageExecutor = storageExecutor;
        mTransport = transport;
        RaftStorage.Recovered recovered = storage.recovered();
        mCore =
                new RaftCore(
                        settings,
                        storage.identity(),
                        recovered.hardState(),
                        new RaftLog(recovered.snapshot(), recovered.entries()),
                        random,
                        loop.nowNanos());
        mAppliedIndex = recovered.snapshot().getLastIndex();
        if (mAppliedIndex > 0) {
            stateMachine.restore(recovered.snapshot().getData());
        }
        LOGGER.atInfo().log(
                "event=raft_opened vm=%s disk=%s term=%d snapshot=%d replay=%d",
                settings.self(),
                storage.identity().getDiskId(),
                recovered.hardState().term(),
                mAppliedIndex,
                recovered.entries().size());
    }

    /** Starts to participate in the group. */
    public void start() {
        mLoop.scheduleRepeatedly(TICK_INTERVAL, this::tick);
    }

    /**
     * Starts to leave the group, before {@link #stop}; the member participates meanwhile.
     *
     * @param limit time after which the departure is given up
     * @return completes when this member may stop
     */
    public CompletableFuture<LeaveOutcome> leave(Duration limit) {
        long now = mLoop.nowNanos();
        mCore.leave(now, now + limit.toNanos());
        CompletableFuture<LeaveOutcome> result = new CompletableFuture<>();
        mLeave = Optional.of(result);
        tick();
        return result;
    }

    /** Records that a VM refused a connection, so that no member runs on it. */
    public void onRefused(VmId vm) {
        if (!mStopped) {
            mCore.onRefused(vm);
        }
    }

    /** Stops participating; pending proposals end as unknown. The storage stays open. */
    public void stop() {
        mStopped = true;
        endPendingCalls();
    }

    /** Handles a message from another control member. */
    public void receive(Envelope envelope) {
        if (!mStopped) {
            mCore.receive(envelope, mLoop.nowNanos());
            processEffects();
        }
    }

    @Override
    public CompletableFuture<ProposeOutcome> propose(ByteString command) {
        if (mProposals.size() >= MAX_PENDING_PROPOSALS) {
            return CompletableFuture.completedFuture(new ProposeOutcome.Overloaded());
        }
        OptionalLong index =
                mStopped ? OptionalLong.empty() : mCore.propose(command, mLoop.nowNanos());
        if (index.isEmpty()) {
            processEffects();
            return CompletableFuture.completedFuture(
                    new ProposeOutcome.NotLeader(status().leader()));
        }
        CompletableFuture<ProposeOutcome> outcome = new CompletableFuture<>();
        mProposals.put(index.getAsLong(), new Proposal(mCore.term(), outcome));
        processEffects();
        return outcome;
    }

    @Override
    public CompletableFuture<Boolean> confirmLeadership() {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        long id = mNextReadId++;
        mPendingReads.put(id, result);
        if (mStopped || !mCore.startReadBarrier(id, mLoop.nowNanos())) {
            mPendingReads.remove(id);
            result.complete(false);
        }
        processEffects();
        return result;
    }

    @Override
    public RaftStatus status() {
        return mCore.status(mAppliedIndex);
    }

    private void tick() {
        if (!mStopped) {
            mCore.tick(mLoop.nowNanos());
            processEffects();
        }
    }

    /** Executes effects until there are none; a reentrant call leaves them to the outer call. */
    private void processEffects() {
        if (mStopped || mProcessingEffects) {
            return;
        }
        mProcessingEffects = true;
        try {
            for (RaftEffects e = mCore.takeEffects(); !e.isEmpty(); e = mCore.takeEffects()) {
                execute(e);
            }
            if (!mCore.isLeader()) {
                endPendingCalls();
            }
            logStateChange();
            mCore.leaveOutcome().ifPresent(o -> mLeave.ifPresent(l -> l.complete(o)));
        } finally {
            mProcessingEffects = false;
        }
    }

    private void execute(RaftEffects effects) {
        effects.messages().forEach(m -> mTransport.send(m.to(), m.envelope()));
        effects.write().ifPresent(this::write);
        effects.restore()
                .ifPresent(
                        s -> {
                            mStateMachine.restore(s.getData());
                            mAppliedIndex = s.getLastIndex();
                            mBytesSinceSnapshot = 0;
                        });
        effects.committed().forEach(this::apply);
        mConfirmedReads.addAll(effects.confirmedReads());
        for (RaftEffects.ConfirmedRead r : ImmutableList.copyOf(mConfirmedReads)) {
            if (r.index() <= mAppliedIndex) {
                mConfirmedReads.remove(r);
                Optional.ofNullable(mPendingReads.remove(r.id())).ifPresent(f -> f.complete(true));
            }
        }
        if (mAppliedIndex - mCore.log().snapshotIndex() >= SNAPSHOT_INTERVAL_ENTRIES
                || mBytesSinceSnapshot >= SNAPSHOT_INTERVAL_BYTES) {
            mCore.compact(mAppliedIndex, mStateMachine.snapshot());
            mBytesSinceSnapshot = 0;
        }
    }

    private void apply(LogEntry e) {
        mAppliedIndex = e.getIndex();
        mBytesSinceSnapshot += e.getSerializedSize();
        ByteString reply =
                e.hasCommand()
                        ? mStateMachine.apply(e.getIndex(), e.getCommand())
                        : ByteString.EMPTY;
        Proposal p = mProposals.remove(e.getIndex());
        if (p != null) {
            p.outcome()
                    .complete(
                            p.term() == e.getTerm()
                                    ? new ProposeOutcome.Applied(reply)
                                    : new ProposeOutcome.Unknown());
        }
    }

    private void write(StorageBatch batch) {
        mStorageExecutor.execute(
                () -> {
                    try {
                        mStorage.write(batch);
                        mLoop.execute(this::onBatchWritten);
                    } catch (IOException e) {
                        mLoop.execute(() -> onWriteFailed(e));
                    }
                });
    }

    private void onBatchWritten() {
        if (mStopped) {
            return;
        }
        if (status().storageFailing()) {
            LOGGER.atInfo().log("event=raft_storage_recovered vm=%s", selfVm());
        }
        mCore.onBatchSynced(mLoop.nowNanos());
        processEffects();
    }

    private void onWriteFailed(IOException e) {
        if (mStopped) {
            return;
        }
        if (!status().storageFailing()) {
            LOGGER.atSevere().withCause(e).log("event=raft_storage_failed vm=%s", selfVm());
        }
        mCore.onBatchFailed(mLoop.nowNanos());
        processEffects();
        mLoop.schedule(WRITE_RETRY_INTERVAL, this::retryWrite);
    }

    private void retryWrite() {
        if (!mStopped) {
            mCore.retryBatch();
            processEffects();
        }
    }

    private void endPendingCalls() {
        ImmutableList<Proposal> proposals = ImmutableList.copyOf(mProposals.values());
        ImmutableList<CompletableFuture<Boolean>> reads =
                ImmutableList.copyOf(mPendingReads.values());
        mProposals.clear();
        mPendingReads.clear();
        mConfirmedReads.clear();
        proposals.forEach(p -> p.outcome().complete(new ProposeOutcome.Unknown()));
        reads.forEach(r -> r.complete(false));
    }

    private void logStateChange() {
        RaftStatus s = status();
        String state =
                "role=%s term=%d leader=%s members=%s"
                        .formatted(
                                s.role(),
                                s.term(),
                                s.leader().map(Object::toString).orElse("none"),
                                s.members().stream()
                                        .map(m -> m.getVmId() + "/" + m.getDiskId())
                                        .toList());
        if (!state.equals(mLoggedState)) {
            mLoggedState = state;
            LOGGER.atInfo().log("event=raft_state_changed vm=%s %s", selfVm(), state);
        }
    }

    private String selfVm() {
        return mStorage.identity().getVmId();
    }
}
