package org.jacinthwharf.request.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.request.admission.ServiceLedger;

/**
 * The queue of one service, ordered by priority, then by the service that the customer received,
 * then by the latest start.
 *
 * <p>Not thread-safe. Invariant: the backlog knows all customers with queued requests. Finding the
 * next request takes time linear in the number of these customers.
 */
final class WaitingRequests<R> {
    /** Requests of one queue that are considered for placement at a time. */
    private static final int MAX_HEADS_PER_QUEUE = 12;

    private static final long RATE_WINDOW_NANOS = 1_000_000_000L;

    /** Shorter observations tell too little: several engines are often freed at once. */
    private static final long MIN_OBSERVATION_NANOS = 100_000_000L;

    /**
     * One queued request.
     *
     * @param latestStartNanos latest start at which the answer is expected within the objective
     * @param expiryNanos when it is refused
     */
    record Entry<R>(
            DispatchRequest request,
            R call,
            Set<String> excluded,
            long latestStartNanos,
            long expiryNanos) {
        boolean isLate(long nowNanos) {
            return latestStartNanos < nowNanos;
        }
    }

    private record QueueKey(int priority, CustomerId customer) {}

    private final ServiceLedger mLedger;
    private final Backlog mBacklog;
    private final Map<QueueKey, List<Entry<R>>> mQueues = new HashMap<>();
    private final SlidingWindowCounter mStarts = new SlidingWindowCounter(RATE_WINDOW_NANOS);
    private int mSize;

    /** Since when there have been queued requests without a break. */
    private long mWaitingSinceNanos;

    WaitingRequests(ServiceLedger ledger, Backlog backlog) {
        mLedger = ledger;
        mBacklog = backlog;
    }

    int size() {
        return mSize;
    }

    void add(Entry<R> entry, long nowNanos) {
        if (mSize == 0) {
            mWaitingSinceNanos = nowNanos;
        }
        QueueKey key = key(entry.request());
        List<Entry<R>> queue = mQueues.computeIfAbsent(key, k -> new ArrayList<>());
        int index = queue.size();
        while (index > 0 && queue.get(index - 1).latestStartNanos() > entry.latestStartNanos()) {
            index--;
        }
        queue.add(index, entry);
        mSize++;
        mBacklog.onWaiting(key.customer());
    }

    /**
     * Returns the first requests of each customer in the order of placement. Several for each, so
     * that a request that waits for a cached prefix does not block those behind it. Requests past
     * their latest start come after all others.
     */
    List<Entry<R>> heads(long nowNanos) {
        List<QueueKey> keys = new ArrayList<>(mQueues.keySet());
        keys.sort(
                Comparator.comparingInt(QueueKey::priority)
                        .thenComparingDouble(k -> mLedger.counter(k.customer()))
                        .thenComparing(QueueKey::customer));
        List<Entry<R>> heads = new ArrayList<>();
        for (boolean late : new boolean[] {false, true}) {
            for (QueueKey key : keys) {
                mQueues.get(key).stream()
                        .filter(e -> e.isLate(nowNanos) == late)
                        .limit(MAX_HEADS_PER_QUEUE)
                        .forEach(heads::add);
            }
        }
        return heads;
    }

    /** Records the start of a request of the service, queued or not. */
    void recordStart(long nowNanos) {
        mStarts.add(nowNanos);
    }

    /** Removes a queued request and records its start. */
    void removeStarted(Entry<R> entry, long nowNanos) {
        recordStart(nowNanos);
        remove(entry);
    }

    /** Removes the request of a call; returns whether it was queued. */
    boolean removeCall(R call) {
        Optional<Entry<R>> found =
                mQueues.values().stream()
                        .flatMap(Collection::stream)
                        .filter(e -> e.call() == call)
                        .findFirst();
        found.ifPresent(this::remove);
        return found.isPresent();
    }

    /** Removes and returns the requests that satisfy a condition. */
    List<Entry<R>> removeIf(Predicate<Entry<R>> condition) {
        List<Entry<R>> removed = new ArrayList<>();
        for (var queue : mQueues.entrySet()) {
            List<Entry<R>> found = queue.getValue().stream().filter(condition).toList();
            if (!found.isEmpty()) {
                queue.getValue().removeIf(condition);
                found.forEach(e -> mBacklog.onNoLongerWaiting(queue.getKey().customer()));
                removed.addAll(found);
            }
        }
        mSize -= removed.size();
        mQueues.values().removeIf(List::isEmpty);
        return removed;
    }

    private void remove(Entry<R> entry) {
        QueueKey key = key(entry.request());
        List<Entry<R>> queue = mQueues.get(key);
        if (queue == null || !queue.remove(entry)) {
            return;
        }
        mSize--;
        mBacklog.onNoLongerWaiting(key.customer());
        if (queue.isEmpty()) {
            mQueues.remove(key);
        }
    }

    /**
     * Returns the predicted wait of a new request in nanoseconds, from the recent rate of starts;
     * empty if its customer has no request ahead of it or the rate is not known.
     *
     * <p>Ahead of it are its customer's requests with an earlier latest start, and the requests of
     * customers that received less service.
     */
    Optional<Long> predictedWaitNanos(
            DispatchRequest request, long latestStartNanos, long nowNanos) {
        QueueKey key = key(request);
        long ownAhead =
                mQueues.getOrDefault(key, List.of()).stream()
                        .filter(e -> e.latestStartNanos() <= latestStartNanos)
                        .count();
        // The first request of a customer may start at once, however many others are queued.
        return ownAhead == 0
                ? Optional.empty()
                : nanosPerStart(nowNanos)
                        .map(n -> (long) ((ownAhead + ahead(key) + 1) * n.doubleValue()));
    }

    /**
     * Returns the time that one start takes while requests wait; empty if it is not known.
     *
     * <p>Starts count only while requests have been waiting: before that, they were as rare as
     * requests. The rate is the highest one that the starts make likely, one standard deviation
     * above their mean, since a request that is refused for a wrong prediction is lost.
     */
    private Optional<Double> nanosPerStart(long nowNanos) {
        long observed = Math.min(RATE_WINDOW_NANOS, nowNanos - mWaitingSinceNanos);
        if (mSize == 0 || observed < MIN_OBSERVATION_NANOS) {
            return Optional.empty();
        }
        int starts = mStarts.countRecent(observed, nowNanos);
        return starts == 0
                ? Optional.empty()
                : Optional.of(observed / (starts + Math.sqrt(starts)));
    }

    /** Returns the number of requests of other customers that come before those of a queue. */
    private long ahead(QueueKey key) {
        double counter = mLedger.counter(key.customer());
        return mQueues.entrySet().stream()
                .filter(e -> isBefore(e.getKey(), key, counter))
                .mapToLong(e -> e.getValue().size())
                .sum();
    }

    /**
     * Removes and returns the requests that cannot start before they expire, as far as the rate of
     * starts tells. Requests that are late already, and retries, wait until they expire.
     */
    List<Entry<R>> removeUnreachable(long nowNanos) {
        Optional<Double> nanosPerStart = nanosPerStart(nowNanos);
        if (nanosPerStart.isEmpty()) {
            return List.of();
        }
        Set<Entry<R>> unreachable = Collections.newSetFromMap(new IdentityHashMap<>());
        for (var queue : mQueues.entrySet()) {
            long position = ahead(queue.getKey()) + 1;
            boolean first = true;
            for (Entry<R> e : queue.getValue()) {
                boolean mayLeave = !first && !e.isLate(nowNanos) && e.excluded().isEmpty();
                if (mayLeave && position * nanosPerStart.get() > e.expiryNanos() - nowNanos) {
                    unreachable.add(e);
                } else {
                    position++;
                }
                first = false;
            }
        }
        return unreachable.isEmpty() ? List.of() : removeIf(unreachable::contains);
    }

    private boolean isBefore(QueueKey other, QueueKey key, double counter) {
        return other.priority() < key.priority()
                || (other.priority() == key.priority()
                        && mLedger.counter(other.customer()) < counter);
    }

    private static QueueKey key(DispatchRequest r) {
        return new QueueKey(r.priority(), r.customer());
    }
}
