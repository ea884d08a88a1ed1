package org.jacinthwharf.request.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.jacinthwharf.id.LogText;
import org.jacinthwharf.process.metrics.RefusalReason;
import org.jacinthwharf.request.admission.ServiceLedger;
import org.jacinthwharf.wire.generated.ExpectedServers;

/**
 * Decides for every request of a gateway where it runs, how long it waits and when it is refused.
 *
 * <p>Requests queue here and not at the backend servers, since those serve in order of arrival.
 * Invariants: a server is sent no more than its capacity, as far as this gateway knows; a cold
 * server is sent at most this gateway's quota in any second; a request that cannot start early
 * enough is refused as soon as that is known. Not thread-safe; does no I/O and reads no clock.
 */
public final class Dispatcher<R> {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Cost of a generated token to the engines, in prompt tokens. */
    private static final double OUTPUT_TOKEN_COST = 2;

    /** Cost of a request to a plain service, in prompt tokens. */
    private static final double PLAIN_REQUEST_COST = 500;

    /** Bound on the queue of one service; requests beyond it would expire in the queue. */
    private static final int MAX_WAITING_PER_SERVICE = 2_000;

    private static final long MILLI_NANOS = 1_000_000L;

    /** A retry that finds no capacity for this long is too late to be of use to the caller. */
    private static final long RETRY_WAIT_NANOS = 1_500 * MILLI_NANOS;

    /**
     * Fraction of its maximum wait for which a request waits for an engine that has its shared
     * prefix cached, before it may go to one that has to recompute the prefix.
     */
    private static final double PREFIX_WAIT_FRACTION = 0.4;

    /** Bound on that wait for the customer that has received the least service. */
    private static final double LEAST_SERVED_PREFIX_WAIT_NANOS = 30 * MILLI_NANOS;

    /** Fraction of the objective that is planned for; the rest covers the network to the caller. */
    private static final double PLANNED_OBJECTIVE_FRACTION = 0.9;

    /** Fraction of the objective that a plain server is expected to need for its answer. */
    private static final double PLAIN_ANSWER_FRACTION = 0.4;

    /** Minimum time that a request may wait, since capacity is often freed almost at once. */
    private static final double MIN_WAIT_MILLIS = 40;

    /** Bounds of the retry-after time before jitter. */
    private static final long MIN_RETRY_AFTER_MILLIS = 250;

    private static final long MAX_RETRY_AFTER_MILLIS = 3_000;

    /**
     * Bounds of the load delay. A longer one is that of a busy gateway or a lost relay, for which
     * engines must not stay empty.
     */
    private static final long MIN_LOAD_DELAY_NANOS = 35 * MILLI_NANOS;

    private static final long MAX_LOAD_DELAY_NANOS = 75 * MILLI_NANOS;

    private final ServerTable mServerTable;
    private final ServerChoice mChoice;
    private final ServerPermits mPermits;
    private final ServiceLedger mLedger;
    private final Backlog mBacklog;
    private final VersionGate mVersionGate;
    private final Function<String, Optional<ServiceObjectives>> mServices;
    private final RandomGenerator mRandom;
    private final Map<String, WaitingRequests<R>> mWaiting = new HashMap<>();
    private final Map<String, PrefillModel> mPrefillModels = new HashMap<>();
    private final DispatchHealth mHealth;
    private final ExpectedCapacity mExpected = new ExpectedCapacity();
    private long mLoadDelayNanos = MIN_LOAD_DELAY_NANOS;

    /**
     * Creates a dispatcher with empty queues.
     *
     * @param failureDomain failure domain of the gateway, whose servers are preferred
     * @param services looks up a service by name
     * @param random breaks ties and adds jitter to retry-after times
     */
    public Dispatcher(
            ServerTable serverTable,
            String failureDomain,
            ServerPermits permits,
            DispatchHealth health,
            ServiceLedger ledger,
            VersionGate versionGate,
            Function<String, Optional<ServiceObjectives>> services,
            RandomGenerator random) {
        mServerTable = serverTable;
        mChoice = new ServerChoice(failureDomain, random);
        mPermits = permits;
        mHealth = health;
        mLedger = ledger;
        mBacklog = new Backlog(ledger);
        mVersionGate = versionGate;
        mServices = services;
        mRandom = random;
    }

    /** Sets the time until the other gateways know of a placement of this one. */
    public void setLoadDelay(long nanos) {
        mLoadDelayNanos = Math.max(MIN_LOAD_DELAY_NANOS, Math.min(nanos, MAX_LOAD_DELAY_NANOS));
    }

    /** Replaces the servers that are expected, for the waits that refused callers are told. */
    public void setExpectedServers(ExpectedServers expected, long nowNanos) {
        mExpected.update(expected, nowNanos);
    }

    /** Places, queues or refuses a new request. */
    public ImmutableList<DispatchAction<R>> submit(R call, DispatchRequest request, long nowNanos) {
        return submit(call, request, ImmutableSet.of(), false, nowNanos);
    }

    /**
     * Places, queues or refuses a retry of a request that the excluded servers failed or rejected.
     */
    public ImmutableList<DispatchAction<R>> resubmit(
            R call, DispatchRequest request, Set<String> excluded, long nowNanos) {
        if (mServerTable.loadFreshness().isLate(mLoadDelayNanos, nowNanos)) {
            excluded.forEach(e -> mServerTable.find(e).ifPresent(s -> s.onRejected(nowNanos)));
        }
        return submit(call, request, excluded, true, nowNanos);
    }

    private boolean isLoadStale(long nowNanos) {
        return mServerTable.loadFreshness().isStale(mLoadDelayNanos, nowNanos);
    }

    private ImmutableList<DispatchAction<R>> submit(
            R call, DispatchRequest request, Set<String> excluded, boolean retry, long nowNanos) {
        Optional<ServiceObjectives> service = mServices.apply(request.service());
        if (service.isEmpty()) {
            return refuse(call, RefusalReason.NO_BACKEND_SERVER, MIN_RETRY_AFTER_MILLIS);
        }
        WaitingRequests<R> queue = queue(request.service());
        if (retry || queue.size() == 0) {
            Optional<Placement> placement =
                    place(
                            request,
                            service.get(),
                            excluded,
                            retry,
                            candidates(service.get(), nowNanos),
                            nowNanos);
            if (placement.isPresent()) {
                queue.recordStart(nowNanos);
                return ImmutableList.of(new DispatchAction.Place<>(call, placement.get()));
            }
        }
        if (allServersExcluded(request, excluded)) {
            return refuse(call, RefusalReason.NO_BACKEND_SERVER, retryAfterMillis(1_000));
        }
        long latestStart = latestStart(request, service.get(), retry, nowNanos);
        long wait = queue.predictedWaitNanos(request, latestStart, nowNanos).orElse(0L);
        long expiry = expiry(request, latestStart);
        if (!retry && (wait > expiry - nowNanos || queue.size() >= MAX_WAITING_PER_SERVICE)) {
            mBacklog.onRefused(request.customer(), nowNanos);
            return refuse(
                    call,
                    RefusalReason.DEADLINE_UNREACHABLE,
                    retryAfterMillis(request.service(), wait, nowNanos));
        }
        queue.add(
                new WaitingRequests.Entry<>(request, call, excluded, latestStart, expiry),
                nowNanos);
        return ImmutableList.of();
    }

    /**
     * Returns the latest start at which the answer is still expected within the objective. A retry
     * has usually missed the objective and may wait for a fixed time.
     */
    private long latestStart(
            DispatchRequest request, ServiceObjectives objectives, boolean retry, long nowNanos) {
        if (retry) {
            return Math.min(request.deadlineNanos(), nowNanos + RETRY_WAIT_NANOS);
        }
        double answerMillis = PLAIN_ANSWER_FRACTION * request.objectiveMillis();
        if (objectives.isEngine()) {
            double ownMillis =
                    prefillModel(request.service()).millisPerToken()
                            * ServerChoice.expectedPrefillTokens(request);
            answerMillis =
                    mChoice.maxFirstTokenMillis(objectives, prefillModel(request.service()))
                            + ownMillis / 2;
        }
        double wait =
                Math.max(
                        MIN_WAIT_MILLIS,
                        PLANNED_OBJECTIVE_FRACTION * request.objectiveMillis() - answerMillis);
        return Math.min(
                request.deadlineNanos(), request.arrivalNanos() + (long) (wait * MILLI_NANOS));
    }

    /**
     * Returns when a queued request is refused. This is later than its latest start: capacity is
     * often freed shortly after that, and a late answer is worth more to the caller than none.
     */
    private static long expiry(DispatchRequest request, long latestStart) {
        long objective = request.arrivalNanos() + request.objectiveMillis() * MILLI_NANOS;
        return Math.min(request.deadlineNanos(), Math.max(latestStart, objective));
    }

    /** Returns whether every serving server of the request's service is excluded. */
    private boolean allServersExcluded(DispatchRequest request, Set<String> excluded) {
        return mServerTable.ofService(request.service()).stream()
                .filter(mHealth::isServing)
                .allMatch(s -> excluded.contains(s.id()));
    }

    /** Removes a queued request; returns whether it was queued. */
    public boolean cancel(R call, String service) {
        WaitingRequests<R> queue = mWaiting.get(service);
        return queue != null && queue.removeCall(call);
    }

    /**
     * Places queued requests for which there is capacity and refuses those whose time in the queue
     * is over; must be called every few milliseconds.
     */
    public ImmutableList<DispatchAction<R>> dispatchWaiting(long nowNanos) {
        mBacklog.expire(nowNanos);
        ImmutableList.Builder<DispatchAction<R>> actions = ImmutableList.builder();
        mWaiting.forEach((service, queue) -> dispatchWaiting(service, queue, nowNanos, actions));
        return actions.build();
    }

    private void dispatchWaiting(
            String name,
            WaitingRequests<R> queue,
            long nowNanos,
            ImmutableList.Builder<DispatchAction<R>> actions) {
        if (queue.size() == 0) {
            return;
        }
        for (var expired : queue.removeIf(e -> e.expiryNanos() <= nowNanos)) {
            actions.addAll(refuse(queue, expired, RefusalReason.QUEUE_FULL, nowNanos));
        }
        Optional<ServiceObjectives> service = mServices.apply(name);
        if (service.isPresent()) {
            placeWaiting(queue, service.get(), nowNanos, actions);
        }
        for (var e : queue.removeUnreachable(nowNanos)) {
            actions.addAll(refuse(queue, e, RefusalReason.DEADLINE_UNREACHABLE, nowNanos));
        }
    }

    /** Refuses a request that has been removed from the queue. */
    private ImmutableList<DispatchAction<R>> refuse(
            WaitingRequests<R> queue,
            WaitingRequests.Entry<R> entry,
            RefusalReason reason,
            long nowNanos) {
        mBacklog.onRefused(entry.request().customer(), nowNanos);
        long wait =
                queue.predictedWaitNanos(entry.request(), entry.latestStartNanos(), nowNanos)
                        .orElse(0L);
        return refuse(
                entry.call(), reason, retryAfterMillis(entry.request().service(), wait, nowNanos));
    }

    private void placeWaiting(
            WaitingRequests<R> queue,
            ServiceObjectives service,
            long nowNanos,
            ImmutableList.Builder<DispatchAction<R>> actions) {
        List<BackendServer> candidates = candidates(service, nowNanos);
        // Capacity only shrinks during a run, so no request is tried twice.
        Set<WaitingRequests.Entry<R>> tried = Collections.newSetFromMap(new IdentityHashMap<>());
        boolean placed = true;
        while (placed && queue.size() > 0 && mayHaveCapacity(service, candidates)) {
            placed = false;
            for (var head : queue.heads(nowNanos)) {
                if (!tried.add(head)) {
                    continue;
                }
                Optional<Placement> placement;
                try {
                    placement =
                            place(
                                    head.request(),
                                    service,
                                    head.excluded(),
                                    mayUseAnyEngine(head, nowNanos),
                                    candidates,
                                    nowNanos);
                } catch (RuntimeException e) {
                    // A fault in the work for one request must not stop that for the others.
                    LOGGER.atSevere().withCause(e).log(
                            "event=placement_fault request=%s", LogText.of(head.request().id()));
                    queue.removeCall(head.call());
                    actions.addAll(refuse(head.call(), RefusalReason.INTERNAL_FAULT, 0));
                    continue;
                }
                if (placement.isPresent()) {
                    queue.removeStarted(head, nowNanos);
                    actions.add(new DispatchAction.Place<>(head.call(), placement.get()));
                    candidates = withPermit(candidates, placement.get(), service, nowNanos);
                    placed = true;
                    break;
                }
            }
        }
    }

    /**
     * Returns whether a request has waited long enough for an engine that has its shared prefix
     * cached. The customer that has received the least service waits only briefly: its prompts may
     * all have the same prefix and so the same engine.
     */
    private boolean mayUseAnyEngine(WaitingRequests.Entry<R> entry, long nowNanos) {
        long arrival = entry.request().arrivalNanos();
        boolean leastServed = mLedger.leadOverBacklogged(entry.request().customer()) == 0;
        double wait = PREFIX_WAIT_FRACTION * (entry.latestStartNanos() - arrival);
        return nowNanos - arrival
                > (leastServed ? Math.min(wait, LEAST_SERVED_PREFIX_WAIT_NANOS) : wait);
    }

    /** Returns whether any server may have capacity for some request. */
    private boolean mayHaveCapacity(ServiceObjectives service, List<BackendServer> candidates) {
        double millisPerToken = prefillModel(service.service().getName()).millisPerToken();
        return candidates.stream()
                .anyMatch(s -> ServerChoice.mayHaveCapacity(service, millisPerToken, s));
    }

    /** Removes the server of a placement from the candidates if it has no further permit. */
    private List<BackendServer> withPermit(
            List<BackendServer> candidates,
            Placement placement,
            ServiceObjectives service,
            long nowNanos) {
        BackendServer placed = placement.server();
        return mPermits.allows(placed, service.service(), nowNanos)
                ? candidates
                : candidates.stream().filter(s -> s != placed).toList();
    }

    /** Returns the servers of a service that may be sent requests now, regardless of load. */
    private List<BackendServer> candidates(ServiceObjectives objectives, long nowNanos) {
        if (isLoadStale(nowNanos)) {
            mServerTable.levelOtherGatewaysLoad();
        }
        List<BackendServer> usable = new ArrayList<>();
        List<BackendServer> ejected = new ArrayList<>();
        List<BackendServer> unreachable = new ArrayList<>();
        for (BackendServer s : mServerTable.ofService(objectives.service().getName())) {
            s.expireRejections(nowNanos);
            s.recordPendingPrefill(nowNanos);
            if (mHealth.isAvailable(s, nowNanos)
                    && mPermits.allows(s, objectives.service(), nowNanos)) {
                if (!s.isEjected(nowNanos)) {
                    usable.add(s);
                } else {
                    (s.isUnreachable() ? unreachable : ejected).add(s);
                }
            }
        }
        // If most servers fail, the cause is probably a common one, and ejecting them all would
        // stop the service.
        if (usable.size() < ejected.size()) {
            usable.addAll(ejected);
        }
        return usable.isEmpty() ? unreachable : usable;
    }

    private Optional<Placement> place(
            DispatchRequest request,
            ServiceObjectives objectives,
            Set<String> excluded,
            boolean anyEngine,
            List<BackendServer> candidates,
            long nowNanos) {
        List<BackendServer> allowed =
                mVersionGate.allowed(request, candidates, !excluded.isEmpty());
        double aheadTokens = mLedger.leadOverBacklogged(request.customer());
        return mChoice.choose(
                        new ServerChoice.Criteria(
                                request,
                                objectives,
                                aheadTokens,
                                mLedger.relativeLead(request.customer()),
                                anyEngine,
                                excluded,
                                mLoadDelayNanos,
                                isLoadStale(nowNanos),
                                nowNanos),
                        prefillModel(request.service()),
                        allowed)
                .map(choice -> placement(request, objectives, choice, nowNanos));
    }

    private Placement placement(
            DispatchRequest request,
            ServiceObjectives objectives,
            ServerChoice.Choice choice,
            long nowNanos) {
        BackendServer server = choice.server();
        mServerTable.loadFreshness().onPlaced(nowNanos);
        mLedger.charge(request.customer(), cost(request));
        if (!objectives.isEngine()) {
            return new Placement(server, Optional.empty(), 0, 0, nowNanos, n -> {});
        }
        server.addToPrefixCache(request.prompt(), objectives.service().getCacheTokens());
        double pendingPrefill = server.totalPendingPrefillTokens() + choice.prefillTokens();
        PrefillModel prefillModel = prefillModel(request.service());
        return new Placement(
                server,
                choice.cacheSource().or(() -> likelyHolder(request, objectives, server, nowNanos)),
                choice.prefillTokens(),
                request.ownTokens(),
                nowNanos,
                firstEventNanos ->
                        prefillModel.addSample(
                                pendingPrefill,
                                (firstEventNanos - nowNanos) / (double) MILLI_NANOS));
    }

    private Optional<BackendServer> likelyHolder(
            DispatchRequest request,
            ServiceObjectives objectives,
            BackendServer server,
            long nowNanos) {
        return objectives.hasCacheTransfers()
                ? CacheSources.likelyHolder(
                        request.prompt(),
                        server,
                        mServerTable.ofService(request.service()).stream()
                                .filter(s -> mHealth.isRunning(s, nowNanos)))
                : Optional.empty();
    }

    /**
     * Ejects servers that fail far more often than their peers; must be called a few times a
     * second.
     */
    public void ejectOutliers(long nowNanos) {
        mServerTable
                .services()
                .forEach(
                        s ->
                                PeerComparison.outliers(mServerTable.ofService(s), nowNanos)
                                        .forEach(o -> o.eject(nowNanos)));
    }

    private PrefillModel prefillModel(String service) {
        return mPrefillModels.computeIfAbsent(service, s -> new PrefillModel());
    }

    private static double cost(DispatchRequest request) {
        return request.promptTokens() == 0
                ? PLAIN_REQUEST_COST
                : request.promptTokens() + OUTPUT_TOKEN_COST * request.outputTokens();
    }

    private WaitingRequests<R> queue(String service) {
        return mWaiting.computeIfAbsent(service, s -> new WaitingRequests<>(mLedger, mBacklog));
    }

    /** Returns the number of queued requests. */
    public int waiting() {
        return mWaiting.values().stream().mapToInt(WaitingRequests::size).sum();
    }

    /** Returns what a caller is told for a predicted wait with the present servers. */
    private long retryAfterMillis(String service, long waitNanos, long nowNanos) {
        long wait =
                mExpected.shortened(
                        service, waitNanos, () -> availableServers(service, nowNanos), nowNanos);
        return retryAfterMillis(wait / MILLI_NANOS);
    }

    private int availableServers(String service, long nowNanos) {
        return (int)
                mServerTable.ofService(service).stream()
                        .filter(s -> mHealth.isAvailable(s, nowNanos))
                        .count();
    }

    // Jitter keeps callers that are refused together from retrying together.
    private long retryAfterMillis(long wait) {
        long base = Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, wait));
        return base + mRandom.nextLong(base);
    }

    private ImmutableList<DispatchAction<R>> refuse(R call, RefusalReason reason, long millis) {
        return ImmutableList.of(new DispatchAction.Refuse<>(call, reason, millis));
    }
}
