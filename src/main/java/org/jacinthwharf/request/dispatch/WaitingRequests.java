package org.jacinthwharf.request.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.request.admission.ServiceLedger;

/**
 * Requests that wait for one service, ordered by priority, then by the service that their customer
 * received, then by the time by which they must start.
 *
 * <p>Not thread-safe. Invariant: the backlog knows which customers wait. Finding the next request
 * is linear in the customers that wait.
 */
final class WaitingRequests<R> {
    private static final int LOOK_AHEAD = 12;
    private static final long RATE_WINDOW_NANOS = 1_000_000_000L;

    /**
     * One waiting request.
     *
     * @param startByNanos until when it can start and still be on time
     * @param giveUpNanos when it is refused
     */
    record Waiting<R>(
            DispatchRequest request,
            R call,
            Set<String> excluded,
            long startByNanos,
            long giveUpNanos) {
        boolean isLate(long nowNanos) {
            return startByNanos < nowNanos;
        }
    }

    private record QueueKey(int priority, CustomerId customer) {}

    private final ServiceLedger mLedger;
    private final Backlog mBacklog;
    private final Map<QueueKey, List<Waiting<R>>> mQueues = new HashMap<>();
    private final SlidingCount mStarts = new SlidingCount(RATE_WINDOW_NANOS);
    private int mSize;

    WaitingRequests(ServiceLedger ledger, Backlog backlog) {
        mLedger = ledger;
        mBacklog = backlog;
    }

    int size() {
        return mSize;
    }

    /** Adds a request. */
    void add(Waiting<R> waiting) {
        QueueKey key = key(waiting.request());
        List<Waiting<R>> queue = mQueues.computeIfAbsent(key, k -> new ArrayList<>());
        int at = queue.size();
        while (at > 0 && queue.get(at - 1).startByNanos() > waiting.startByNanos()) {
            at--;
        }
        queue.add(at, waiting);
        mSize++;
        mBacklog.onWaiting(key.customer());
    }

    /**
     * Returns the first requests of each customer in the order in which they are served: a few, so
     * that one whose prompt is cached elsewhere does not hold up the others. Requests that can no
     * longer be on time come after all that can.
     */
    List<Waiting<R>> heads(long nowNanos) {
        List<QueueKey> keys = new ArrayList<>(mQueues.keySet());
        keys.sort(
                Comparator.comparingInt(QueueKey::priority)
                        .thenComparingDouble(k -> mLedger.counter(k.customer()))
                        .thenComparing(QueueKey::customer));
        List<Waiting<R>> heads = new ArrayList<>();
        for (boolean late : new boolean[] {false, true}) {
            for (QueueKey key : keys) {
                mQueues.get(key).stream()
                        .filter(w -> w.isLate(nowNanos) == late)
                        .limit(LOOK_AHEAD)
                        .forEach(heads::add);
            }
        }
        return heads;
    }

    /** Takes note that a request of the service starts, also one that did not wait. */
    void noteStart(long nowNanos) {
        mStarts.add(nowNanos);
    }

    /** Removes a request that starts now. */
    void started(Waiting<R> waiting, long nowNanos) {
        noteStart(nowNanos);
        remove(waiting);
    }

    /** Removes the request of a call; returns whether it waited. */
    boolean removeCall(R call) {
        Optional<Waiting<R>> found =
                mQueues.values().stream()
                        .flatMap(Collection::stream)
                        .filter(w -> w.call() == call)
                        .findFirst();
        found.ifPresent(this::remove);
        return found.isPresent();
    }

    /** Removes and returns the requests that satisfy a condition. */
    List<Waiting<R>> removeIf(Predicate<Waiting<R>> condition) {
        List<Waiting<R>> found =
                mQueues.values().stream().flatMap(Collection::stream).filter(condition).toList();
        found.forEach(this::remove);
        return found;
    }

    private void remove(Waiting<R> waiting) {
        QueueKey key = key(waiting.request());
        List<Waiting<R>> queue = mQueues.get(key);
        if (queue == null || !queue.remove(waiting)) {
            return;
        }
        mSize--;
        mBacklog.onNoLongerWaiting(key.customer());
        if (queue.isEmpty()) {
            mQueues.remove(key);
        }
    }

    /**
     * Returns the time until a new request would start, in nanoseconds, from the rate of starts;
     * nothing if too little is known.
     *
     * <p>Ahead of it are its customer's requests that must start earlier, and those of customers
     * that received less service.
     */
    Optional<Long> predictedWaitNanos(DispatchRequest request, long startByNanos, long nowNanos) {
        int starts = mStarts.count(nowNanos);
        QueueKey key = key(request);
        long own =
                mQueues.getOrDefault(key, List.of()).stream()
                        .filter(w -> w.startByNanos() <= startByNanos)
                        .count();
        // The first request of a customer may start at once, whatever the others have waiting.
        if (own == 0 || starts == 0) {
            return Optional.empty();
        }
        double counter = mLedger.counter(key.customer());
        long before =
                mQueues.entrySet().stream()
                        .filter(e -> isBefore(e.getKey(), key, counter))
                        .mapToLong(e -> e.getValue().size())
                        .sum();
        return Optional.of((own + before + 1) * RATE_WINDOW_NANOS / starts);
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
