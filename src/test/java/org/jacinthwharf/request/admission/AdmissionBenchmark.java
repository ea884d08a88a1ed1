package org.jacinthwharf.request.admission;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.id.FailureDomainId;
import org.jacinthwharf.id.ModelId;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.id.VersionId;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.ServerAnnouncement;
import org.jacinthwharf.wire.generated.ServerState;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures one request through a router and an owner: offer, demand, grant, start, end, return. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class AdmissionBenchmark {
    private static final long MILLI = 1_000_000L;
    private static final FailureDomainId DOMAIN = FailureDomainId.of("fd");
    private static final PoolId POOL = PoolId.of(ModelId.of("m"), VersionId.of("v1"));
    private static final BackendServerId SERVER = BackendServerId.of("s");

    private final RouterIncarnation mSelf = RouterIncarnation.of(VmId.of("r"), 1);
    private final Queue<Object> mActions = new ArrayDeque<>();
    private final CustomerId[] mCustomers = new CustomerId[290];
    private RouterAdmission<Integer> mRouter;
    private OwnerAdmission mOwner;
    private long mNow = 1_000 * MILLI;
    private int mCount;
    private int mStarted;

    /** Creates a router and an owner of one warm server. */
    @Setup
    public void setUp() {
        ServiceLedger ledger = new ServiceLedger(mSelf.toString(), 200 * MILLI);
        QueueLimits limits = new QueueLimits(200, 5_000);
        mRouter = new RouterAdmission<>(mSelf, DOMAIN, "region", 1, limits, ledger, r -> true);
        mOwner = new OwnerAdmission(mSelf, DOMAIN, "region");
        for (int i = 0; i < mCustomers.length; i++) {
            mCustomers[i] = CustomerId.of("c" + i);
        }
        mOwner.onLease(1, Long.MAX_VALUE / 2);
        mOwner.onServerAcquired(SERVER, mNow);
        mActions.addAll(mRouter.onView(1, Map.of(SERVER, mSelf.vm()), mNow));
        // A new owner grants nothing in the first second, in which grants of an earlier owner may
        // be used.
        for (int i = 0; i < 10; i++) {
            announce();
            mNow += 200 * MILLI;
            mActions.addAll(mRouter.tick(mNow));
            mActions.addAll(mOwner.tick(mNow));
            handle();
        }
    }

    private void announce() {
        ServerAnnouncement announcement =
                ServerAnnouncement.newBuilder()
                        .setServer("s")
                        .setIncarnation(1)
                        .setSequence(1 + mNow)
                        .setAddress("127.0.0.1:1")
                        .setModel("m")
                        .setVersion("v1")
                        .setState(ServerState.WARM)
                        .setColdLimit(1)
                        .setWarmLimit(8)
                        .build();
        mActions.addAll(mOwner.onAnnouncement(announcement, mNow));
    }

    /** Runs one request at a rate of 5,000 requests/s, including the exchange rounds due. */
    @Benchmark
    public int offerGrantEnd() {
        mNow += MILLI / 5;
        if (++mCount % 1_000 == 0) {
            mActions.addAll(mRouter.tick(mNow));
            mActions.addAll(mOwner.tick(mNow));
        }
        if (mCount % 5_000 == 0) {
            announce();
        }
        CustomerId customer = mCustomers[mCount % mCustomers.length];
        mActions.addAll(
                mRouter.submit(
                        new QueuedRequest<>(
                                customer, POOL, 10, mNow, mNow + 30_000 * MILLI, mCount),
                        mNow));
        handle();
        if (mCount > 10_000 && mStarted < mCount / 2) {
            throw new IllegalStateException("started " + mStarted + " of " + mCount);
        }
        return mStarted;
    }

    private void handle() {
        Object action;
        while ((action = mActions.poll()) != null) {
            if (action instanceof RouterAction.Send<?> send) {
                deliver(send.message());
            } else if (action instanceof OwnerAction.Send send) {
                deliver(send.message());
            } else if (action instanceof OwnerAction.Publish publish) {
                mRouter.onOffer(publish.offer(), mNow);
            } else if (action instanceof RouterAction.Start<?> start) {
                mStarted++;
                mActions.addAll(mRouter.onEnded(start.slot(), 10, mNow));
            }
        }
    }

    private void deliver(Envelope message) {
        List<?> next =
                switch (message.getPayloadCase()) {
                    case DEMAND -> mOwner.onDemand(message.getDemand(), mNow);
                    case SLOT_RETURN -> mOwner.onReturn(message.getSlotReturn(), mNow);
                    case RUNNING_REPORT -> mOwner.onReport(message.getRunningReport(), mNow);
                    case SLOT_GRANT -> mRouter.onGrant(message.getSlotGrant(), mNow);
                    default -> throw new AssertionError(message.getPayloadCase());
                };
        mActions.addAll(next);
    }
}
