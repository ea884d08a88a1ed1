package org.jacinthwharf.request.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.wire.generated.ServiceTotals;
import org.junit.jupiter.api.Test;

/**
 * Guards counters against lost and duplicate messages, credit from idle time, partitions and wrong
 * hints.
 */
final class ServiceLedgerTest {
    private static final CustomerId A = CustomerId.of("a");
    private static final CustomerId B = CustomerId.of("b");
    private static final long INTERVAL = 200_000_000L;

    private final ServiceLedger mLedger = new ServiceLedger("r0/1", INTERVAL);
    private final ServiceLedger mOther = new ServiceLedger("r1/1", INTERVAL);

    /** Guards against resent totals that grow with the number of customers without service. */
    @Test
    void customersWithoutServiceAreNeverSent() {
        for (int i = 0; i < 100; i++) {
            mLedger.setWeight(CustomerId.of("idle" + i), 2);
        }
        mLedger.charge(A, 5);
        boolean sentInEveryFullResend = true;
        for (int round = 0; round < 200; round++) {
            ServiceTotals totals = mLedger.nextTotals();
            assertThat(totals.getOrigins(0).getTotalsCount()).isAtMost(1);
            sentInEveryFullResend &= round % 50 != 0 || totals.getOrigins(0).getTotalsCount() == 1;
        }
        assertThat(sentInEveryFullResend).isTrue();
    }

    /** Guards against double counting, and against refunds lost by merging maxima. */
    @Property(tries = 50, seed = "301")
    void repeatedReorderedAndLostTotalsGiveTheCounterOfTheLastOne(@ForAll long seed) {
        Random random = new Random(seed);
        ServiceLedger sender = new ServiceLedger("r1/1", INTERVAL);
        ServiceLedger receiver = new ServiceLedger("r0/1", INTERVAL);
        List<ServiceTotals> messages = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            RequestCharge charge = RequestCharge.start(sender, A, random.nextInt(50));
            charge.progress(random.nextInt(80));
            charge.finish(random.nextInt(100));
            ServiceTotals message = sender.nextTotals();
            if (i == 19 || random.nextInt(3) > 0) {
                messages.add(message);
                messages.add(message);
            }
        }
        Collections.shuffle(messages, random);
        messages.forEach(message -> receiver.merge(message, 0));
        assertThat(receiver.counter(A)).isWithin(1e-6).of(sender.counter(A));
    }

    /** Guards against a lead that others need longer to catch up than shares may be unfair. */
    @Test
    void customersFarBehindAreRaisedSoThatTheLeadIsWorkedOffInSecondsAndTheOrderStays() {
        CustomerId c = CustomerId.of("c");
        mLedger.setBacklogged(A, true);
        mLedger.setBacklogged(B, true);
        mLedger.setBacklogged(c, true);
        mLedger.charge(B, 9_990_000);
        mLedger.charge(c, 10_000_000);
        LeadLimit limit = new LeadLimit(mLedger);
        for (long millis = 0; millis <= 2_000; millis += 200) {
            limit.update(millis * 1_000_000);
            // 600,000 a second, of which each of three customers has a share of 200,000.
            mLedger.charge(c, 120_000);
        }
        assertThat(mLedger.leadOverBacklogged(c)).isWithin(130_000).of(300_000);
        assertThat(mLedger.counter(A)).isAtMost(mLedger.counter(B));
        assertThat(mLedger.counter(B)).isLessThan(mLedger.counter(c));
    }

    /** Guards against credit accumulated while idle, also when no customer is backlogged. */
    @Test
    void customerThatBecomesBackloggedHasNoCreditFromItsIdleTime() {
        mLedger.setBacklogged(A, true);
        mLedger.charge(A, 1_000);
        mLedger.setBacklogged(B, true);
        assertThat(mLedger.counter(B)).isEqualTo(1_000.0);

        mLedger.setBacklogged(B, false);
        mLedger.charge(A, 500);
        mLedger.setBacklogged(A, false);
        mLedger.setBacklogged(B, true);
        assertThat(mLedger.counter(B)).isEqualTo(1_500.0);
    }

    /**
     * Guards against a counter that is not raised because the customer is backlogged at another
     * router.
     */
    @Test
    void backlogReportedByAnotherRouterRaisesTheCounterHere() {
        mLedger.setBacklogged(A, true);
        mLedger.charge(A, 1_000);
        mOther.setBacklogged(B, true);
        mLedger.merge(mOther.nextTotals(), 0);
        assertThat(mLedger.counter(B)).isEqualTo(1_000.0);
    }

    /**
     * Guards against starvation of a customer that received more service on one side of a
     * partition.
     */
    @Test
    void rejoinLowersCountersToTheSmallestBackloggedPlusTheBound() {
        FairnessBound bound = new FairnessBound(2, 10, 100, 0.4, 1);
        mLedger.setBacklogged(A, true);
        mLedger.setBacklogged(B, true);
        mOther.charge(A, 1_000_000);
        mLedger.charge(B, 50);
        mLedger.onRejoin(bound, INTERVAL);
        mLedger.merge(mOther.nextTotals(), 0);
        assertThat(bound.value()).isEqualTo(120.0);
        assertThat(mLedger.counter(A)).isEqualTo(50 + 120.0);

        mOther.charge(A, 7);
        mLedger.merge(mOther.nextTotals(), 2 * INTERVAL);
        assertThat(mLedger.counter(A)).isEqualTo(50 + 120.0 + 7);
    }

    /** Guards against a customer that changes its counter with a wrong or invalid hint. */
    @Test
    void hintOutsideOneQuarterToFourTimesTheMeanIsClampedAndInvalidHintYieldsTheMean() {
        CostEstimator costs = new CostEstimator(100);
        assertThat(costs.estimate(A, "r", OptionalDouble.empty())).isEqualTo(100.0);
        costs.record(A, "r", 8);
        assertThat(costs.estimate(A, "r", OptionalDouble.empty())).isEqualTo(8.0);
        assertThat(costs.estimate(A, "r", OptionalDouble.of(1e9))).isEqualTo(32.0);
        assertThat(costs.estimate(A, "r", OptionalDouble.of(1e-9))).isEqualTo(2.0);
        assertThat(costs.estimate(A, "r", OptionalDouble.of(9))).isEqualTo(9.0);
        for (double invalid : new double[] {0, -5, Double.NaN, Double.POSITIVE_INFINITY}) {
            assertThat(costs.estimate(A, "r", OptionalDouble.of(invalid))).isEqualTo(8.0);
        }
        assertThat(costs.estimate(B, "r", OptionalDouble.empty())).isEqualTo(100.0);
    }
}
