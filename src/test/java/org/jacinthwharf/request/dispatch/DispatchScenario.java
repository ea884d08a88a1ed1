package org.jacinthwharf.request.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.request.admission.LeadLimit;
import org.jacinthwharf.request.admission.ServiceLedger;
import org.jacinthwharf.wire.generated.ServerRecord;
import org.jacinthwharf.wire.generated.ServerStatus;
import org.jacinthwharf.wire.generated.Service;

/** The dispatcher of one gateway with simulated backend servers and time. Not thread-safe. */
final class DispatchScenario {
    static final long SECOND = 1_000_000_000L;
    static final long MILLI = 1_000_000L;
    static final String ENGINES = "engines";
    static final String BOOKING = "booking";

    /** Engines that copy 13,000 tokens in 32 ms and prefill them in 200 ms. */
    static final Service TRANSFERS =
            Service.newBuilder()
                    .setCacheTransfers(true)
                    .setCacheTokenBytes(327_680)
                    .setCacheLinkMegabits(1_100_000)
                    .build();

    final ServerTable mServerTable = new ServerTable();
    final ServiceLedger mLedger;
    final LeadLimit mLeadLimit;
    final GatewayRanks mRanks;
    final DispatchHealth mHealth = new DispatchHealth(SECOND);
    final Dispatcher<String> mDispatcher;
    final List<String> mPlaced = new ArrayList<>();
    final List<Placement> mPlacements = new ArrayList<>();
    final List<String> mRefused = new ArrayList<>();

    /** Requests for which the choice of a version fails. */
    final Set<String> mFaulty = new HashSet<>();

    int mVersionChecks;
    long mNow = 100 * SECOND;

    DispatchScenario() {
        this("g1", 1);
    }

    DispatchScenario(String gateway, long seed) {
        this(gateway, seed, Service.getDefaultInstance());
    }

    /** Creates a dispatcher whose engines can copy cached tokens as {@code transfers} says. */
    DispatchScenario(String gateway, long seed, Service transfers) {
        mLedger = new ServiceLedger(gateway + "/1", SECOND / 5);
        mLeadLimit = new LeadLimit(mLedger);
        mRanks = new GatewayRanks(gateway);
        Service engines =
                Service.newBuilder()
                        .setName(ENGINES)
                        .setEngineSlots(64)
                        .setCacheTokens(500_000)
                        .setColdRate(16)
                        .mergeFrom(transfers)
                        .build();
        Service booking = Service.newBuilder().setName(BOOKING).build();
        mDispatcher =
                new Dispatcher<>(
                        mServerTable,
                        "west",
                        new ServerPermits(mRanks),
                        mHealth,
                        mLedger,
                        (request, servers, retry) -> {
                            mVersionChecks++;
                            if (mFaulty.contains(request.id())) {
                                throw new IllegalStateException("injected fault");
                            }
                            return servers;
                        },
                        name ->
                                name.equals(ENGINES)
                                        ? Optional.of(new ServiceObjectives(engines, 400, 200_000))
                                        : Optional.of(new ServiceObjectives(booking, 200, 0)),
                        new SplittableRandom(seed));
    }

    void addServer(String id, String service, int slots, long coldMillis) {
        mServerTable.update(record(id, service, slots), mNow, mNow + coldMillis * MILLI);
    }

    /** Changes the status of an engine. */
    void setStatus(String id, ServerStatus status) {
        ServerRecord engine = record(id, ENGINES, 64);
        mServerTable.update(
                engine.toBuilder().setStatus(status).setSequence(1).build(), mNow, mNow);
    }

    private static ServerRecord record(String id, String service, int slots) {
        return ServerRecord.newBuilder()
                .setServer(id)
                .setService(service)
                .setAddress("10.0.0.1:1")
                .setFailureDomain("west")
                .setStatus(ServerStatus.SERVING)
                .setSlots(slots)
                .build();
    }

    DispatchRequest engineRequest(String id, String customer, String session, int shared, int own) {
        return new DispatchRequest(
                id,
                CustomerId.of(customer),
                ENGINES,
                "chat",
                1,
                Prompt.of(
                        ImmutableList.of(
                                new PromptSegment(session, shared), new PromptSegment(id, own))),
                shared + own,
                100,
                mNow,
                400,
                mNow + 10 * SECOND);
    }

    DispatchRequest bookingRequest(String id) {
        return bookingRequest(id, "a");
    }

    DispatchRequest bookingRequest(String id, String customer) {
        return new DispatchRequest(
                id,
                CustomerId.of(customer),
                BOOKING,
                "book",
                1,
                Prompt.of(ImmutableList.of()),
                0,
                0,
                mNow,
                200,
                mNow + SECOND);
    }

    void submit(DispatchRequest request) {
        recordActions(mDispatcher.submit(request.id(), request, mNow));
    }

    void run(long millis) {
        for (long i = 0; i < millis; i += 10) {
            mNow += 10 * MILLI;
            recordActions(mDispatcher.dispatchWaiting(mNow));
        }
    }

    void addEngines(int count) {
        for (int i = 0; i < count; i++) {
            addServer("e" + i, ENGINES, 64, 0);
        }
    }

    /**
     * Returns the servers, as {@code @id}, of the placed requests whose ids start with a prefix.
     */
    Set<String> serversOf(String prefix) {
        return mPlaced.stream()
                .filter(p -> p.startsWith(prefix))
                .map(p -> p.substring(p.indexOf('@')))
                .collect(Collectors.toSet());
    }

    void recordActions(List<DispatchAction<String>> actions) {
        for (DispatchAction<String> a : actions) {
            if (a instanceof DispatchAction.Place<String> p) {
                mPlaced.add(p.call() + "@" + p.placement().server().id());
                mPlacements.add(p.placement());
            } else if (a instanceof DispatchAction.Refuse<String> r) {
                mRefused.add(r.call() + ":" + r.reason().code() + ":" + r.retryAfterMillis());
            }
        }
    }
}
