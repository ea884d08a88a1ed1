package org.jacinthwharf.request.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.wire.generated.ServerLoad;
import org.junit.jupiter.api.Test;

/** Tests where requests are placed, how long they are queued and when they are refused. */
final class DispatcherTest {
    private final DispatchScenario mScenario = new DispatchScenario();

    // Guards against recomputing a shared prefix at every engine.
    @Test
    void requestsWithTheSameSharedPrefixStayAtOneEngine() {
        mScenario.addEngines(6);
        for (int i = 0; i < 40; i++) {
            mScenario.submit(mScenario.engineRequest("r" + i, "a", "session", 5_000, 100));
            mScenario.mPlacements.forEach(Placement::end);
            mScenario.run(30);
        }
        assertThat(mScenario.mPlaced).hasSize(40);
        assertThat(mScenario.serversOf("")).hasSize(1);
    }

    // Guards against recomputing a short shared prefix wherever load is slightly lower.
    @Test
    void shortSharedPrefixesStayAtTheirEngineWhileItHasCapacity() {
        mScenario.addEngines(6);
        mScenario.submit(mScenario.engineRequest("first", "a", "subject", 500, 1_500));
        for (int i = 0; i < 3; i++) {
            mScenario.submit(mScenario.engineRequest("r" + i, "a", "subject", 500, 300));
        }
        assertThat(mScenario.serversOf("")).hasSize(1);
        assertThat(mScenario.serversOf("")).hasSize(1);
    }

    // Guards against gateways that each spread the overflow of an engine over all other engines.
    @Test
    void theOverflowOfAnEngineGoesToTheSameSecondaryEngineFromAllGateways() {
        Set<String> engines = new HashSet<>();
        for (int g = 0; g < 4; g++) {
            DispatchScenario gateway = new DispatchScenario();
            gateway.addEngines(6);
            // Four prompts fill the engine that has their prefix, the fifth overflows.
            for (int i = 0; i < 5; i++) {
                String id = "g" + g + "-" + i;
                gateway.submit(gateway.engineRequest(id, "a", "subject", 5_000, 900));
            }
            gateway.run(300);
            engines.addAll(gateway.serversOf(""));
        }
        assertThat(engines).hasSize(2);
    }

    // Guards against an engine whose own requests are displaced by the overflow of another.
    @Test
    void theOverflowOfOneEngineLeavesCapacityForTheRequestsOfTheOthers() {
        mScenario.addEngines(6);
        for (int i = 0; i < 200; i++) {
            mScenario.submit(mScenario.engineRequest("r" + i, "a", "subject", 1_200, 300));
        }
        mScenario.run(300);
        int overflow = mScenario.mPlaced.size();
        for (int i = 0; i < 60; i++) {
            mScenario.submit(mScenario.engineRequest("o" + i, "b" + i, "other" + i, 1_200, 300));
        }
        mScenario.run(10);
        assertThat(overflow).isGreaterThan(5);
        assertThat(mScenario.serversOf("o")).hasSize(5);
    }

    // Guards against prompts that queue at an engine, which serves in order of arrival.
    @Test
    void promptsBeyondTheBoundQueueAtTheGatewayAndNotAtTheEngine() {
        mScenario.addServer("e", DispatchScenario.ENGINES, 64, 0);
        for (int i = 0; i < 10; i++) {
            mScenario.submit(mScenario.engineRequest("r" + i, "a", "s" + i, 0, 3_000));
        }
        assertThat(mScenario.mPlaced.size()).isLessThan(4);
        assertThat(mScenario.mDispatcher.waiting() + mScenario.mRefused.size())
                .isEqualTo(10 - mScenario.mPlaced.size());
    }

    // Guards against a flooding customer that starves the others.
    @Test
    void aCustomerThatReceivedLessServiceIsServedBeforeOneThatFloods() {
        mScenario.addServer("e", DispatchScenario.ENGINES, 64, 0);
        for (int i = 0; i < 12; i++) {
            mScenario.submit(mScenario.engineRequest("f" + i, "flood", "s" + i, 0, 3_000));
        }
        mScenario.submit(mScenario.engineRequest("small", "modest", "t", 0, 500));
        mScenario.mPlacements.get(0).onFirstEvent(mScenario.mNow + DispatchScenario.MILLI);
        mScenario.run(10);
        mScenario.mPlacements.forEach(p -> p.onFirstEvent(mScenario.mNow));
        mScenario.run(10);
        assertThat(mScenario.mPlaced).contains("small@e");
    }

    // Guards against a gateway with few callers that starves customers of other gateways.
    @Test
    void aCustomerFarAheadOfOneThatWaitsElsewhereLeavesCapacityAtTheEngines() {
        mScenario.addServer("e", DispatchScenario.ENGINES, 64, 0);
        mScenario.mLedger.setBacklogged(CustomerId.of("elsewhere"), true);
        mScenario.mLedger.charge(CustomerId.of("a"), 1_000_000);
        mScenario.submit(mScenario.engineRequest("r0", "a", "s0", 0, 1_000));
        mScenario.submit(mScenario.engineRequest("r1", "a", "s1", 0, 1_000));
        assertThat(mScenario.mPlaced).containsExactly("r0@e");
        mScenario.submit(mScenario.engineRequest("r2", "elsewhere", "s2", 0, 1_000));
        mScenario.run(10);
        assertThat(mScenario.mPlaced).contains("r2@e");
    }

    // Guards against requests that stay queued until their answer is no longer of use.
    @Test
    void aRequestThatCannotStartIsRefusedWhenItsObjectivePasses() {
        mScenario.addServer("e", DispatchScenario.ENGINES, 64, 0);
        for (int i = 0; i < 10; i++) {
            mScenario.submit(mScenario.engineRequest("r" + i, "a", "s" + i, 0, 6_000));
        }
        mScenario.run(400);
        assertThat(mScenario.mDispatcher.waiting()).isEqualTo(0);
        assertThat(mScenario.mPlaced.size() + mScenario.mRefused.size()).isEqualTo(10);
        assertThat(mScenario.mRefused).isNotEmpty();
    }

    // Guards against refused callers that all retry at the same time.
    @Test
    void refusedCallersGetDifferentRetryAfterTimes() {
        mScenario.addServer("e", DispatchScenario.ENGINES, 64, 0);
        for (int i = 0; i < 30; i++) {
            mScenario.submit(mScenario.engineRequest("r" + i, "a", "s" + i, 0, 6_000));
        }
        mScenario.run(400);
        List<String> times =
                mScenario.mRefused.stream().map(r -> r.substring(r.lastIndexOf(':'))).toList();
        assertThat(new HashSet<>(times).size()).isGreaterThan(times.size() / 2);
    }

    // Guards against a retry at the server that has just failed.
    @Test
    void aRetryGoesToAnotherServer() {
        mScenario.addServer("b1", DispatchScenario.BOOKING, 6, 0);
        mScenario.addServer("b2", DispatchScenario.BOOKING, 6, 0);
        var actions =
                mScenario.mDispatcher.resubmit(
                        "r", mScenario.bookingRequest("r"), Set.of("b1"), mScenario.mNow);
        assertThat(actions).hasSize(1);
        var place = (DispatchAction.Place<String>) actions.get(0);
        assertThat(place.placement().server().id()).isEqualTo("b2");
    }

    // Guards against a request that waits for servers that have all rejected it.
    @Test
    void aRetryWithoutAnotherServerIsRefusedAtOnce() {
        mScenario.addServer("b1", DispatchScenario.BOOKING, 6, 0);
        var actions =
                mScenario.mDispatcher.resubmit(
                        "r", mScenario.bookingRequest("r"), Set.of("b1"), mScenario.mNow);
        assertThat(actions.get(0)).isInstanceOf(DispatchAction.Refuse.class);
    }

    // Guards against a gateway that is partitioned from most servers and keeps sending to them.
    @Test
    void serversThatCannotBeReachedAreNotTriedWhileOthersAnswer() {
        for (String id : List.of("b1", "b2", "b3")) {
            mScenario.addServer(id, DispatchScenario.BOOKING, 6, 0);
        }
        for (String id : List.of("b2", "b3")) {
            mScenario.mServerTable.find(id).orElseThrow().onUnreachable(mScenario.mNow);
        }
        for (int i = 0; i < 12; i++) {
            mScenario.submit(mScenario.bookingRequest("r" + i));
        }
        assertThat(mScenario.serversOf("")).containsExactly("@b1");
    }

    // Guards against a server that fails a fraction of its requests but announces that it serves.
    @Test
    void aServerThatFailsFarMoreOftenThanItsPeersIsEjectedTemporarily() {
        recordAnswers(Set.of("b1"));
        mScenario.mDispatcher.ejectOutliers(mScenario.mNow);
        for (int i = 0; i < 12; i++) {
            mScenario.submit(mScenario.bookingRequest("r" + i));
        }
        assertThat(mScenario.serversOf("")).containsExactly("@b2", "@b3");
        mScenario.mPlaced.clear();
        mScenario.mPlacements.forEach(Placement::end);
        mScenario.mNow += 2 * DispatchScenario.SECOND;
        for (int i = 0; i < 12; i++) {
            mScenario.submit(mScenario.bookingRequest("s" + i));
        }
        assertThat(mScenario.serversOf("")).containsExactly("@b1", "@b2", "@b3");
    }

    // Guards against ejecting servers for a failure with a common cause.
    @Test
    void serversThatAllFailAlikeAreNotEjected() {
        recordAnswers(Set.of("b1", "b2", "b3"));
        mScenario.mDispatcher.ejectOutliers(mScenario.mNow);
        for (int i = 0; i < 12; i++) {
            mScenario.submit(mScenario.bookingRequest("r" + i));
        }
        assertThat(mScenario.serversOf("")).containsExactly("@b1", "@b2", "@b3");
    }

    // Guards against a fault in the work for one waiting request that stops all others.
    @Test
    void faultInThePlacementOfOneWaitingRequestRefusesThatOneOnly() {
        mScenario.addServer("b1", DispatchScenario.BOOKING, 1, 0);
        int filling = 0;
        while (mScenario.mDispatcher.waiting() == 0) {
            mScenario.submit(mScenario.bookingRequest("f" + filling++));
        }
        mScenario.submit(mScenario.bookingRequest("faulty", "b"));
        mScenario.submit(mScenario.bookingRequest("sound", "c"));
        mScenario.mFaulty.add("faulty");
        mScenario.addServer("b2", DispatchScenario.BOOKING, 6, 0);
        mScenario.run(10);
        assertThat(mScenario.mRefused).containsExactly("faulty:internal_fault:0");
        assertThat(mScenario.mPlaced).contains("sound@b2");
        assertThat(mScenario.mDispatcher.waiting()).isEqualTo(0);
    }

    /**
     * Records ten answers of each of three servers; the given ones fail four, never three in a row.
     */
    private void recordAnswers(Set<String> failing) {
        for (String id : List.of("b1", "b2", "b3")) {
            mScenario.addServer(id, DispatchScenario.BOOKING, 6, 0);
            BackendServer server = mScenario.mServerTable.find(id).orElseThrow();
            for (int i = 0; i < 10; i++) {
                if (failing.contains(id) && i % 5 < 2) {
                    server.onFailure(mScenario.mNow);
                } else {
                    server.onSuccess(mScenario.mNow);
                }
            }
        }
    }

    // Guards against a service that stops because every server failed a few times.
    @Test
    void ifMostServersFailTheyAreStillUsed() {
        mScenario.addServer("b1", DispatchScenario.BOOKING, 6, 0);
        mScenario.mServerTable.find("b1").orElseThrow().onUnreachable(mScenario.mNow);
        mScenario.submit(mScenario.bookingRequest("r"));
        assertThat(mScenario.mPlaced).containsExactly("r@b1");
    }

    // Guards against a cold server that is sent more than its rate by all gateways together.
    @Test
    void allGatewaysTogetherStayBelowTheRateOfColdServers() {
        List<String> gateways = List.of("g1", "g2", "g3", "g4", "g5", "g6", "g7");
        int total = 0;
        for (String g : gateways) {
            GatewayRanks ranks = new GatewayRanks(g);
            ranks.setGateways(gateways);
            total += new ColdPermits(ranks).quota("server", 16);
        }
        assertThat(total).isAtMost(16);
        assertThat(total).isAtLeast(7);
    }

    // Guards against a gateway that sends to cold servers without knowing the other gateways.
    @Test
    void aGatewayThatKnowsNoOthersSendsNothingToColdServers() {
        mScenario.addServer("e", DispatchScenario.ENGINES, 64, 5_000);
        mScenario.submit(mScenario.engineRequest("r", "a", "s", 0, 100));
        assertThat(mScenario.mPlaced).isEmpty();
    }

    // Guards against placements in a failure domain that is out of service.
    @Test
    void nothingGoesToClosedFailureDomains() {
        mScenario.addServer("b1", DispatchScenario.BOOKING, 6, 0);
        mScenario.mHealth.setClosedDomains(Set.of("west"));
        mScenario.submit(mScenario.bookingRequest("r"));
        assertThat(mScenario.mPlaced).isEmpty();
    }

    // Guards against taking a gateway's own loss of contact for the silence of servers.
    @Test
    void silenceOfServersCountsOnlyWhileControlIsInContact() {
        mScenario.addServer("b1", DispatchScenario.BOOKING, 6, 0);
        mScenario.mNow += 60 * DispatchScenario.SECOND;
        mScenario.submit(mScenario.bookingRequest("r1"));
        assertThat(mScenario.mPlaced).containsExactly("r1@b1");
        mScenario.mHealth.onControlContact(true, mScenario.mNow);
        mScenario.mNow += 10 * DispatchScenario.SECOND;
        mScenario.submit(mScenario.bookingRequest("r2"));
        assertThat(mScenario.mPlaced).containsExactly("r1@b1");
    }

    /** Guards against sending to full engines while no update of the others' load arrives. */
    @Test
    void rejectionsCountOnlyUntilTheLateUpdateOfTheLoad() {
        mScenario.addEngines(2);
        mScenario.mServerTable.setOtherGatewaysLoad(List.of());
        mScenario.submit(mScenario.engineRequest("r0", "a", "s0", 0, 100));
        BackendServer e0 = mScenario.mServerTable.find("e0").orElseThrow();
        rejectAtE0("fresh");
        assertThat(e0.totalRunning()).isLessThan(e0.slots());

        mScenario.run(40);
        rejectAtE0("late");
        assertThat(e0.totalRunning()).isEqualTo(e0.slots());
        mScenario.submit(mScenario.engineRequest("r1", "a", "s1", 0, 100));
        assertThat(mScenario.serversOf("r1")).containsExactly("@e1");

        mScenario.mServerTable.setOtherGatewaysLoad(List.of());
        assertThat(e0.totalRunning()).isLessThan(e0.slots());
    }

    private void rejectAtE0(String id) {
        mScenario.recordActions(
                mScenario.mDispatcher.resubmit(
                        id,
                        mScenario.engineRequest(id, "a", id, 0, 100),
                        Set.of("e0"),
                        mScenario.mNow));
    }

    /** Guards against all gateways sending to the engine that had the least load long ago. */
    @Test
    void engineThatSeemedEmptyIsNotPreferredOnceTheLoadIsStale() {
        mScenario.addEngines(2);
        mScenario.mServerTable.setOtherGatewaysLoad(
                List.of(ServerLoad.newBuilder().setServer("e0").setRunning(40).build()));
        for (int i = 0; i < 4; i++) {
            mScenario.submit(mScenario.engineRequest("early" + i, "a", "s" + i, 0, 100));
        }
        assertThat(mScenario.serversOf("early")).containsExactly("@e1");

        mScenario.run(80);
        for (int i = 0; i < 8; i++) {
            mScenario.submit(mScenario.engineRequest("later" + i, "a", "t" + i, 0, 100));
        }
        assertThat(mScenario.serversOf("later")).contains("@e0");
    }
}
