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
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.LogEntry;

/**
 * Runs one member of a group on the event loop.
 *
 * <p>Called on the event loop only. Invariants: the state machine sees committed entries only, in
 * order, once; writes run one at a time on the storage executor, so that a slow sync does not delay
 * heartbeats, and what arrives meanwhile shares the next sync; after a storage failure the member
 * takes part in nothing any more, since it no longer knows what it has promised.
 */
public final class RaftNode implements ReplicatedLog {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration TICK = Duration.ofMillis(30);

    /** Bounds the entries that a restart replays. */
    static final int SNAPSHOT_ENTRIES = 1_000;

    /** Bounds the memory for commands that a slow or lost majority does not commit. */
    static final int MAX_OPEN_PROPOSALS = 2_000;

    private static final long SNAPSHOT_BYTES = 4 << 20;

    private final RaftCore mCore;
    private final RaftStorage mStorage;
    private final StateMachine mMachine;
    private final EventLoop mLoop;
    private final Executor mStorageExecutor;
    private final RaftTransport mTransport;
    private final Consumer<IOException> mOnStorageFailure;
    private final Map<Long, Proposal> mProposals = new HashMap<>();
    private final Map<Long, CompletableFuture<Boolean>> mReads = new HashMap<>();
    private final List<RaftEffects.ConfirmedRead> mConfirmed = new ArrayList<>();
    private long mApplied;
    private long mBytesSinceSnapshot;
    private long mNextRead;
    private boolean mStopped;
    private boolean mDraining;
    private String mLogged = "";

    private record Proposal(long term, CompletableFuture<ProposeOutcome> outcome) {}

    /**
     * Creates a member and gives the state machine the stored snapshot.
     *
     * @param storageExecutor runs writes; must run them one at a time
     * @param random spreads election timeouts
     * @param onStorageFailure hears on the event loop that the member stopped, once
     */
    public RaftNode(
            RaftSettings settings,
            RaftStorage storage,
            StateMachine machine,
            EventLoop loop,
            Executor storageExecutor,
            RaftTransport transport,
            RandomGenerator random,
            Consumer<IOException> onStorageFailure) {
        mStorage = storage;
        mMachine = machine;
        mLoop = loop;
        mStorageExecutor = storageExecutor;
        mTransport = transport;
        mOnStorageFailure = onStorageFailure;
        RaftStorage.Recovered recovered = storage.recovered();
        mCore =
                new RaftCore(
                        settings,
                        storage.identity(),
                        recovered.term(),
                        new RaftLog(recovered.snapshot(), recovered.entries()),
                        random,
                        loop.nowNanos());
        mApplied = recovered.snapshot().getLastIndex();
        if (mApplied > 0) {
            machine.restore(recovered.snapshot().getData());
        }
        LOGGER.atInfo().log(
                "event=raft_opened vm=%s disk=%s term=%d snapshot=%d replay=%d",
                settings.self(),
                storage.identity().getDiskId(),
                recovered.term().term(),
                mApplied,
                recovered.entries().size());
    }

    /** Starts to take part in the group. */
    public void start() {
        mLoop.scheduleRepeatedly(TICK, this::tick);
    }

    /** Stops taking part; open proposals end as unknown. The storage stays open. */
    public void stop() {
        mStopped = true;
        endOpenCalls();
    }

    /** Takes a message from another control member. */
    public void receive(Envelope envelope) {
        if (!mStopped) {
            mCore.receive(envelope, mLoop.nowNanos());
            drain();
        }
    }

    @Override
    public CompletableFuture<ProposeOutcome> propose(ByteString command) {
        if (mProposals.size() >= MAX_OPEN_PROPOSALS) {
            return CompletableFuture.completedFuture(new ProposeOutcome.Overloaded());
        }
        OptionalLong index =
                mStopped ? OptionalLong.empty() : mCore.propose(command, mLoop.nowNanos());
        if (index.isEmpty()) {
            drain();
            return CompletableFuture.completedFuture(
                    new ProposeOutcome.NotLeader(status().leader()));
        }
        CompletableFuture<ProposeOutcome> outcome = new CompletableFuture<>();
        mProposals.put(index.getAsLong(), new Proposal(mCore.term(), outcome));
        drain();
        return outcome;
    }

    @Override
    public CompletableFuture<Boolean> confirmLeadership() {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        long id = mNextRead++;
        mReads.put(id, result);
        if (mStopped || !mCore.confirm(id, mLoop.nowNanos())) {
            mReads.remove(id);
            result.complete(false);
        }
        drain();
        return result;
    }

    @Override
    public LogStatus status() {
        return mCore.status(mApplied);
    }

    private void tick() {
        if (!mStopped) {
            mCore.tick(mLoop.nowNanos());
            drain();
        }
    }

    /** Carries out effects until there are none; a call from inside it leaves them to the outer. */
    private void drain() {
        if (mStopped || mDraining) {
            return;
        }
        mDraining = true;
        try {
            for (RaftEffects e = mCore.takeEffects(); !e.isEmpty(); e = mCore.takeEffects()) {
                execute(e);
            }
            if (!mCore.isLeader()) {
                endOpenCalls();
            }
            logChange();
        } finally {
            mDraining = false;
        }
    }

    private void execute(RaftEffects effects) {
        effects.messages().forEach(m -> mTransport.send(m.to(), m.envelope()));
        effects.write().ifPresent(this::write);
        effects.restore()
                .ifPresent(
                        s -> {
                            mMachine.restore(s.getData());
                            mApplied = s.getLastIndex();
                            mBytesSinceSnapshot = 0;
                        });
        effects.committed().forEach(this::apply);
        mConfirmed.addAll(effects.confirmedReads());
        for (RaftEffects.ConfirmedRead r : ImmutableList.copyOf(mConfirmed)) {
            if (r.index() <= mApplied) {
                mConfirmed.remove(r);
                Optional.ofNullable(mReads.remove(r.id())).ifPresent(f -> f.complete(true));
            }
        }
        if (mApplied - mCore.log().snapshotIndex() >= SNAPSHOT_ENTRIES
                || mBytesSinceSnapshot >= SNAPSHOT_BYTES) {
            mCore.compact(mApplied, mMachine.snapshot());
            mBytesSinceSnapshot = 0;
        }
    }

    private void apply(LogEntry e) {
        mApplied = e.getIndex();
        mBytesSinceSnapshot += e.getSerializedSize();
        ByteString reply =
                e.hasCommand() ? mMachine.apply(e.getIndex(), e.getCommand()) : ByteString.EMPTY;
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
                        mLoop.execute(this::written);
                    } catch (IOException e) {
                        mLoop.execute(() -> failed(e));
                    }
                });
    }

    private void written() {
        if (!mStopped) {
            mCore.storageDone(mLoop.nowNanos());
            drain();
        }
    }

    private void failed(IOException e) {
        LOGGER.atSevere().withCause(e).log("event=raft_storage_failed");
        stop();
        mOnStorageFailure.accept(e);
    }

    private void endOpenCalls() {
        ImmutableList<Proposal> proposals = ImmutableList.copyOf(mProposals.values());
        ImmutableList<CompletableFuture<Boolean>> reads = ImmutableList.copyOf(mReads.values());
        mProposals.clear();
        mReads.clear();
        mConfirmed.clear();
        proposals.forEach(p -> p.outcome().complete(new ProposeOutcome.Unknown()));
        reads.forEach(r -> r.complete(false));
    }

    private void logChange() {
        LogStatus s = status();
        String state =
                "role=%s term=%d leader=%s members=%s"
                        .formatted(
                                s.role(),
                                s.term(),
                                s.leader().map(Object::toString).orElse("none"),
                                s.members().stream()
                                        .map(m -> m.getVmId() + "/" + m.getDiskId())
                                        .toList());
        if (!state.equals(mLogged)) {
            mLogged = state;
            LOGGER.atInfo().log("event=raft_state_changed vm=%s %s", selfVm(), state);
        }
    }

    private String selfVm() {
        return mStorage.identity().getVmId();
    }
}
