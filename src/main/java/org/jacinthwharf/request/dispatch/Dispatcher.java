package org.jacinthwharf.request.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.jacinthwharf.process.metrics.RefusalReason;
import org.jacinthwharf.request.admission.ServiceLedger;

/**
 * Decides for every request of a gateway where it runs, how long it waits and when it is refused.
 *
 * <p>The queue stays here and not at the backend servers, since those serve in order of arrival.
 * Invariants: a server gets no more than it has room for, as far as this gateway knows; a cold
 * server gets at most this gateway's part of its rate in any second; a request that cannot start in
 * time is refused as soon as that is known. Not thread-safe; does no I/O and reads no clock.
 */
public final class Dispatcher<R> {
    /** Tokens generated cost the engines about twice as much as tokens read. */
    private static final double OUTPUT_COST = 2;

    /** Cost of a call of a plain service, in tokens. */
    private static final double PLAIN_COST = 500;

    /** Requests that wait for one service at most; more would only grow old here. */
    private static final int MAX_WAITING = 2_000;

    private static final long MILLI_NANOS = 1_000_000L;

    /** A repeat that finds no place for this long has lost what the caller wanted in time. */
    private static final long REPEAT_WAIT_NANOS = 1_500 * MILLI_NANOS;

    /**
     * Part of its waiting time for which a request waits for a server that has its prompt's shared
     * segments, before it goes where they have to be read again.
     */
    private static final double NEAR_PART = 0.4;

    private static final double NEAR_BEHIND_NANOS = 30 * MILLI_NANOS;

    /** Part of the objective that is planned for; the rest covers the way to the caller. */
    private static final double ON_TIME_PART = 0.9;

    /** Part of the objective that a plain server is expected to need. */
    private static final double PLAIN_ANSWER_PART = 0.4;

    /** A request may wait at least this long, since a place often comes free at once. */
    private static final double SHORTEST_WAIT_MILLIS = 40;

    private static final long SHORTEST_RETRY_MILLIS = 250;
    private static final long LONGEST_RETRY_MILLIS = 3_000;

    private final ServerTable mServerTable;
    private final ServerChoice mChoice;
    private final ColdPermits mCold;
    private final ServiceLedger mLedger;
    private final Backlog mBacklog;
    private final VersionGate mVersions;
    private final Function<String, Optional<ServiceObjectives>> mServices;
    private final RandomGenerator mRandom;
    private final Map<String, WaitingRequests<R>> mWaiting = new HashMap<>();
    private final Map<String, ReadingModel> mReading = new HashMap<>();
    private final DispatchHealth mHealth;

    /**
     * Creates a dispatcher without waiting requests.
     *
     * @param failureDomain failure domain of the gateway, preferred for sending
     * @param services returns the service of a name
     * @param random breaks ties and spreads the return of refused callers
     */
    public Dispatcher(
            ServerTable serverTable,
            String failureDomain,
            ColdPermits cold,
            DispatchHealth health,
            ServiceLedger ledger,
            VersionGate versions,
            Function<String, Optional<ServiceObjectives>> services,
            RandomGenerator random) {
        mServerTable = serverTable;
        mChoice = new ServerChoice(failureDomain, random);
        mCold = cold;
        mHealth = health;
        mLedger = ledger;
        mBacklog = new Backlog(ledger);
        mVersions = versions;
        mServices = services;
        mRandom = random;
    }

    /** Places, queues or refuses a request that arrived. */
    public ImmutableList<DispatchAction<R>> submit(R call, DispatchRequest request, long nowNanos) {
        return submit(call, request, ImmutableSet.of(), false, nowNanos);
    }

    /** Places, queues or refuses a request that ran or was refused at the excluded servers. */
    public ImmutableList<DispatchAction<R>> resubmit(
            R call, DispatchRequest request, Set<String> excluded, long nowNanos) {
        return submit(call, request, excluded, true, nowNanos);
    }

    private ImmutableList<DispatchAction<R>> submit(
            R call, DispatchRequest request, Set<String> excluded, boolean repeat, long nowNanos) {
        Optional<ServiceObjectives> service = mServices.apply(request.service());
        if (service.isEmpty()) {
            return refuse(call, RefusalReason.NO_BACKEND_SERVER, SHORTEST_RETRY_MILLIS);
        }
        WaitingRequests<R> queue = queue(request.service());
        if (repeat || queue.size() == 0) {
            Optional<Placement> placed =
                    place(
                            request,
                            service.get(),
                            excluded,
                            repeat,
                            candidates(service.get(), nowNanos),
                            nowNanos);
            if (placed.isPresent()) {
                queue.noteStart(nowNanos);
                return ImmutableList.of(new DispatchAction.Place<>(call, placed.get()));
            }
        }
        if (isHopeless(request, excluded)) {
            return refuse(call, RefusalReason.NO_BACKEND_SERVER, retryMillis(1_000));
        }
        long startBy = startBy(request, service.get(), repeat, nowNanos);
        long wait = queue.predictedWaitNanos(request, startBy, nowNanos).orElse(0L);
        long giveUp = giveUp(request, startBy);
        if (!repeat && (wait > giveUp - nowNanos || queue.size() >= MAX_WAITING)) {
            mBacklog.onRefused(request.customer(), nowNanos);
            return refuse(
                    call, RefusalReason.DEADLINE_UNREACHABLE, retryMillis(wait / MILLI_NANOS));
        }
        queue.add(new WaitingRequests.Waiting<>(request, call, excluded, startBy, giveUp));
        return ImmutableList.of();
    }

    /**
     * Returns until when a request may wait: as long as its answer can still be on time. A repeat
     * is late already, and may wait for a while.
     */
    private long startBy(
            DispatchRequest request, ServiceObjectives objectives, boolean repeat, long nowNanos) {
        if (repeat) {
            return Math.min(request.deadlineNanos(), nowNanos + REPEAT_WAIT_NANOS);
        }
        double answer = PLAIN_ANSWER_PART * request.objectiveMillis();
        if (objectives.isEngine()) {
            double own = reading(request.service()).slope() * request.promptTokens();
            answer = mChoice.mostMillis(objectives, reading(request.service())) + own / 2;
        }
        double wait =
                Math.max(SHORTEST_WAIT_MILLIS, ON_TIME_PART * request.objectiveMillis() - answer);
        return Math.min(
                request.deadlineNanos(), request.arrivalNanos() + (long) (wait * MILLI_NANOS));
    }

    /**
     * Returns when a waiting request is refused. Servers often have room a moment after an answer
     * could have been on time, and a late answer is worth more to the caller than none.
     */
    private static long giveUp(DispatchRequest request, long startBy) {
        long objective = request.arrivalNanos() + request.objectiveMillis() * MILLI_NANOS;
        return Math.min(request.deadlineNanos(), Math.max(startBy, objective));
    }

    /** Returns whether no server that is left could ever run the request. */
    private boolean isHopeless(DispatchRequest request, Set<String> excluded) {
        return mServerTable.ofService(request.service()).stream()
                .filter(mHealth::isServing)
                .allMatch(s -> excluded.contains(s.id()));
    }

    /** Forgets a request that waits; returns whether it did. */
    public boolean cancel(R call, String service) {
        WaitingRequests<R> queue = mWaiting.get(service);
        return queue != null && queue.removeCall(call);
    }

    /** Places what fits now and refuses what cannot start in time; call every few milliseconds. */
    public ImmutableList<DispatchAction<R>> run(long nowNanos) {
        mBacklog.expire(nowNanos);
        ImmutableList.Builder<DispatchAction<R>> actions = ImmutableList.builder();
        mWaiting.forEach((service, queue) -> run(service, queue, nowNanos, actions));
        return actions.build();
    }

    private void run(
            String name,
            WaitingRequests<R> queue,
            long nowNanos,
            ImmutableList.Builder<DispatchAction<R>> actions) {
        if (queue.size() == 0) {
            return;
        }
        for (var late : queue.removeIf(w -> w.giveUpNanos() <= nowNanos)) {
            mBacklog.onRefused(late.request().customer(), nowNanos);
            long wait =
                    queue.predictedWaitNanos(late.request(), late.startByNanos(), nowNanos)
                            .orElse(0L);
            actions.addAll(
                    refuse(late.call(), RefusalReason.QUEUE_FULL, retryMillis(wait / MILLI_NANOS)));
        }
        Optional<ServiceObjectives> service = mServices.apply(name);
        boolean placed = service.isPresent();
        while (placed && queue.size() > 0) {
            placed = false;
            // Only a placement changes what the others may choose from.
            List<BackendServer> candidates = candidates(service.get(), nowNanos);
            for (var head : queue.heads(nowNanos)) {
                Optional<Placement> place =
                        place(
                                head.request(),
                                service.get(),
                                head.excluded(),
                                mayGoAnywhere(head, nowNanos),
                                candidates,
                                nowNanos);
                if (place.isPresent()) {
                    queue.started(head, nowNanos);
                    actions.add(new DispatchAction.Place<>(head.call(), place.get()));
                    placed = true;
                    break;
                }
            }
        }
    }

    /**
     * Returns whether a request has waited long enough for the server that has its shared segments.
     * The customer that is furthest behind waits a moment only: its prompts may all share the same
     * segment.
     */
    private boolean mayGoAnywhere(WaitingRequests.Waiting<R> w, long nowNanos) {
        long arrival = w.request().arrivalNanos();
        boolean behind = mLedger.aheadOfBacklog(w.request().customer()) == 0;
        double wait = NEAR_PART * (w.startByNanos() - arrival);
        return nowNanos - arrival > (behind ? Math.min(wait, NEAR_BEHIND_NANOS) : wait);
    }

    /** Returns the servers of a service that may be sent to now, whatever their load. */
    private List<BackendServer> candidates(ServiceObjectives objectives, long nowNanos) {
        List<BackendServer> usable = new ArrayList<>();
        List<BackendServer> ejected = new ArrayList<>();
        List<BackendServer> unreachable = new ArrayList<>();
        for (BackendServer s : mServerTable.ofService(objectives.service().getName())) {
            s.observe(nowNanos);
            if (mHealth.isHeard(s, nowNanos) && mCold.allows(s, objectives.service(), nowNanos)) {
                if (!s.isEjected(nowNanos)) {
                    usable.add(s);
                } else {
                    (s.isUnreachable() ? unreachable : ejected).add(s);
                }
            }
        }
        // If most servers fail, the cause is hardly theirs; leaving them out would stop the
        // service.
        if (usable.size() < ejected.size()) {
            usable.addAll(ejected);
        }
        return usable.isEmpty() ? unreachable : usable;
    }

    private Optional<Placement> place(
            DispatchRequest request,
            ServiceObjectives objectives,
            Set<String> excluded,
            boolean anywhere,
            List<BackendServer> candidates,
            long nowNanos) {
        List<BackendServer> allowed = mVersions.allowed(request, candidates, !excluded.isEmpty());
        double ahead = mLedger.aheadOfBacklog(request.customer());
        return mChoice.choose(
                        new ServerChoice.Question(
                                request, objectives, ahead, anywhere, excluded, nowNanos),
                        reading(request.service()),
                        allowed)
                .map(s -> placement(request, objectives, s, nowNanos));
    }

    private Placement placement(
            DispatchRequest request,
            ServiceObjectives objectives,
            BackendServer server,
            long nowNanos) {
        long unread = Math.max(0, request.promptTokens() - server.cached(request.prompt()));
        mLedger.charge(request.customer(), cost(request));
        if (!objectives.isEngine()) {
            return new Placement(server, 0, 0, nowNanos, n -> {});
        }
        server.remember(request.prompt(), objectives.service().getCacheTokens());
        double ahead = server.unreadOfAll() + unread;
        ReadingModel reading = reading(request.service());
        return new Placement(
                server,
                unread,
                request.ownTokens(),
                nowNanos,
                firstNanos ->
                        reading.onFirstEvent(
                                ahead, (firstNanos - nowNanos) / (double) MILLI_NANOS));
    }

    /** Leaves out servers that fail far more often than their peers; call a few times a second. */
    public void judgeServers(long nowNanos) {
        mServerTable
                .services()
                .forEach(
                        s ->
                                PeerComparison.outliers(mServerTable.ofService(s), nowNanos)
                                        .forEach(o -> o.eject(nowNanos)));
    }

    private ReadingModel reading(String service) {
        return mReading.computeIfAbsent(service, s -> new ReadingModel());
    }

    private static double cost(DispatchRequest request) {
        return request.promptTokens() == 0
                ? PLAIN_COST
                : request.promptTokens() + OUTPUT_COST * request.outputTokens();
    }

    private WaitingRequests<R> queue(String service) {
        return mWaiting.computeIfAbsent(service, s -> new WaitingRequests<>(mLedger, mBacklog));
    }

    /** Returns the requests that wait. */
    public int waiting() {
        return mWaiting.values().stream().mapToInt(WaitingRequests::size).sum();
    }

    // Callers that are refused together must not come back together.
    private long retryMillis(long wait) {
        long base = Math.max(SHORTEST_RETRY_MILLIS, Math.min(LONGEST_RETRY_MILLIS, wait));
        return base + mRandom.nextLong(base);
    }

    private ImmutableList<DispatchAction<R>> refuse(R call, RefusalReason reason, long millis) {
        return ImmutableList.of(new DispatchAction.Refuse<>(call, reason, millis));
    }
}
