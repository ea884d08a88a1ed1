package org.jacinthwharf.request.admission;

import java.util.concurrent.TimeUnit;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.wire.generated.CustomerTotal;
import org.jacinthwharf.wire.generated.Demand;
import org.jacinthwharf.wire.generated.DemandHead;
import org.jacinthwharf.wire.generated.OriginTotals;
import org.jacinthwharf.wire.generated.Pool;
import org.jacinthwharf.wire.generated.ServiceTotals;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Measures the exchange between routers: merging totals of 290 customers, and encoding a demand.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class ExchangeBenchmark {
    private static final int CUSTOMERS = 290;
    private static final long INTERVAL = 200_000_000L;

    private final ServiceTotals[] mTotals = new ServiceTotals[64];
    private ServiceLedger mLedger;
    private Demand.Builder mDemand;
    private int mCount;
    private long mNow;

    /** Creates increasing totals of one origin, and a demand with the maximum of 16 heads. */
    @Setup
    public void setUp() {
        mLedger = new ServiceLedger("r/1", INTERVAL);
        for (int i = 0; i < mTotals.length; i++) {
            OriginTotals.Builder origin = OriginTotals.newBuilder().setOrigin("other/1");
            for (int c = 0; c < CUSTOMERS; c++) {
                origin.addTotals(
                        CustomerTotal.newBuilder()
                                .setCustomer("c" + c)
                                .setTotal(10.0 * i + c)
                                .setBacklogged(true));
            }
            mTotals[i] = ServiceTotals.newBuilder().setSender("o").addOrigins(origin).build();
        }
        mDemand =
                Demand.newBuilder()
                        .setRouter("r")
                        .setRouterIncarnation(1)
                        .setPool(Pool.newBuilder().setModel("m").setVersion("v1"))
                        .setWaiting(40);
        for (int c = 0; c < 16; c++) {
            mDemand.addHeads(
                    DemandHead.newBuilder()
                            .setCustomer("customer-" + c)
                            .setCounter(1_000 + c)
                            .setWaiting(2)
                            .setEstimatedCost(20));
        }
    }

    /**
     * Merges one message; after 64 messages the totals repeat, which has no effect on the counters.
     */
    @Benchmark
    public double mergeTotalsOf290Customers() {
        mNow += INTERVAL;
        mLedger.merge(mTotals[mCount++ % mTotals.length], mNow);
        return mLedger.counter(CustomerId.of("c0"));
    }

    /** Encodes a demand with a new sequence number. */
    @Benchmark
    public byte[] encodeDemand() {
        return mDemand.setSequence(++mCount).build().toByteArray();
    }
}
