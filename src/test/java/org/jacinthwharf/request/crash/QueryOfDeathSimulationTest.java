package org.jacinthwharf.request.crash;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ListMultimap;
import com.google.common.collect.Multiset;
import com.google.common.collect.Sets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.LongStream;
import org.jacinthwharf.wire.generated.PromptEvidence;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a fleet of gateways that goes on sending prompts with a segment that crashes
 * servers, or requests that do so as a whole, or that refuses others, with evidence that is late,
 * crashes of other causes, and gateways and relays that restart empty. One millisecond is one step.
 */
final class QueryOfDeathSimulationTest {
    private static final int LEARNING_MILLIS = 3_000;
    private static final int MAX_LATER_ARRIVALS = 3;
    private static final int END_MILLIS = 40_000;
    private static final int REPLACEMENT_MILLIS = 2_500;
    private static final int EVENT_MILLIS = 30;

    private record Task(long millis, Runnable run) {}

    /** What crashes the servers of a run. */
    private enum Cause {
        /** A segment, in prompts no two of which are alike; the fifth crash is the last allowed. */
        SEGMENT(5),
        /** A request that comes again and again; the third crash is the last allowed. */
        REQUEST(3);

        private final int mCrashesToLearn;

        Cause(int crashesToLearn) {
            mCrashesToLearn = crashesToLearn;
        }
    }

    /** A request; two with the same content are repeats. */
    private record Request(String content, ImmutableSet<String> segments, Optional<String> bad) {
        ImmutableSet<CrashSubject> segmentSubjects() {
            return segments.stream()
                    .map(CrashSubject::segment)
                    .collect(ImmutableSet.toImmutableSet());
        }

        ImmutableSet<CrashSubject> begunSubjects() {
            return segments.stream()
                    .map(CrashSubject::begunSegment)
                    .collect(ImmutableSet.toImmutableSet());
        }

        CrashSubject subject() {
            return CrashSubject.request(content);
        }

        ImmutableSet<CrashSubject> subjects(boolean begun) {
            return ImmutableSet.<CrashSubject>builder()
                    .addAll(begun ? begunSubjects() : segmentSubjects())
                    .add(subject())
                    .build();
        }

        ImmutableSet<CrashSubject> subjects() {
            return Sets.union(subjects(false), subjects(true)).immutableCopy();
        }
    }

    /** An attempt at a server, until its answer is whole. */
    private static final class Attempt {
        final int mGateway;
        final Request mRequest;

        /** 0: the first, 1: the gateway's repeat, 2 and 3: the same after the caller's repeat. */
        final int mNumber;

        boolean mBegun;

        Attempt(int gateway, Request request, int number) {
            mGateway = gateway;
            mRequest = request;
            mNumber = number;
        }

        ImmutableSet<CrashSubject> lostSubjects() {
            return mRequest.subjects(mBegun);
        }
    }

    private static final class Server {
        ServerIncarnation mIncarnation;
        boolean mUp = true;
        final List<Attempt> mAttempts = new ArrayList<>();
    }

    /** One run. */
    private static final class Fleet {
        private final Random mRandom;
        private final PriorityQueue<Task> mTasks =
                new PriorityQueue<>(Comparator.comparingLong(Task::millis));
        private final List<CrashEvidence> mGateways = new ArrayList<>();
        private final List<Server> mServers = new ArrayList<>();
        private CrashEvidence mRelay = new CrashEvidence();
        private final Cause mCause;
        private final int mEventsBeforeCrash;
        private final int mMaxDelay;
        private final int mBadSubjects;
        private int mRequests;
        private long mNow;
        private int mIncarnations;
        private final ListMultimap<String, Long> mCrashesMillis = ArrayListMultimap.create();
        private final ListMultimap<String, Long> mArrivalsMillis = ArrayListMultimap.create();
        private int mSoundSent;
        private final Multiset<CrashSubject> mSoundBlocked = HashMultiset.create();

        Fleet(Cause cause, int eventsBeforeCrash, long seed) {
            mCause = cause;
            mEventsBeforeCrash = eventsBeforeCrash;
            mRandom = new Random(seed);
            mMaxDelay = 2 + mRandom.nextInt(80);
            mBadSubjects = 1 + mRandom.nextInt(2);
            for (int i = 2 + mRandom.nextInt(40); i > 0; i--) {
                mGateways.add(new CrashEvidence());
            }
            for (int i = 4 + mRandom.nextInt(20); i > 0; i--) {
                Server s = new Server();
                s.mIncarnation = newIncarnation();
                mServers.add(s);
            }
        }

        private ServerIncarnation newIncarnation() {
            return new ServerIncarnation("s" + ++mIncarnations, mIncarnations);
        }

        private long nanos() {
            return mNow * 1_000_000;
        }

        private void after(long millis, Runnable task) {
            mTasks.add(new Task(mNow + millis, task));
        }

        private int delay() {
            return 1 + mRandom.nextInt(mMaxDelay);
        }

        void run() {
            every(20 + mRandom.nextInt(30), this::sendSound, 0);
            every(150 + mRandom.nextInt(1_000), this::sendBad, 5_000);
            every(3_000 + mRandom.nextInt(5_000), this::crashByChance, 1_000);
            every(4_000 + mRandom.nextInt(4_000), this::restartGateway, 9_000);
            after(8_000 + mRandom.nextInt(10_000), this::restartRelay);
            while (!mTasks.isEmpty() && mTasks.peek().millis() < END_MILLIS) {
                Task t = mTasks.remove();
                mNow = t.millis();
                t.run().run();
            }
        }

        private void every(int millis, Runnable task, long start) {
            after(
                    start + 1 + mRandom.nextInt(2 * millis),
                    () -> {
                        task.run();
                        every(millis, task, 0);
                    });
        }

        private ImmutableSet<String> soundSegments() {
            return ImmutableSet.of("common", "team" + mRandom.nextInt(5));
        }

        /** Sends a sound request: mostly one of its own, else one of a few popular lookups. */
        private void sendSound() {
            boolean popular = mRandom.nextInt(4) == 0;
            Request request =
                    popular
                            ? new Request(
                                    "lookup" + mRandom.nextInt(3),
                                    ImmutableSet.of(),
                                    Optional.empty())
                            : new Request("sound" + ++mRequests, soundSegments(), Optional.empty());
            send(request, 0);
        }

        private void sendBad() {
            String bad = "bad" + mRandom.nextInt(mBadSubjects);
            if (mCause == Cause.REQUEST) {
                ImmutableSet<String> segments =
                        bad.equals("bad0") ? ImmutableSet.of("common", "team0") : ImmutableSet.of();
                send(new Request(bad, segments, Optional.of(bad)), 0);
                return;
            }
            ImmutableSet.Builder<String> segments = ImmutableSet.builder();
            boolean first = mRandom.nextInt(4) == 0;
            if (first) {
                segments.add(bad);
            }
            ImmutableSet<String> all = segments.addAll(soundSegments()).add(bad).build();
            send(new Request("prompt" + ++mRequests, all, Optional.of(bad)), 0);
        }

        private void send(Request request, int number) {
            int gateway = mRandom.nextInt(mGateways.size());
            boolean blocked = isBlocked(gateway, request);
            if (request.bad().isEmpty() && mNow > 5_000) {
                mSoundSent++;
                if (blocked) {
                    mSoundBlocked.addAll(mGateways.get(gateway).blocking(request.subjects()));
                }
            }
            if (!blocked) {
                place(new Attempt(gateway, request, number));
            }
        }

        private boolean isBlocked(int gateway, Request request) {
            return !mGateways.get(gateway).blocking(request.subjects()).isEmpty();
        }

        private void place(Attempt attempt) {
            Server s = mServers.get(mRandom.nextInt(mServers.size()));
            if (!s.mUp) {
                return;
            }
            Optional<String> bad = attempt.mRequest.bad();
            bad.ifPresent(b -> mArrivalsMillis.put(b, mNow));
            s.mAttempts.add(attempt);
            ServerIncarnation incarnation = s.mIncarnation;
            after(
                    20 + mRandom.nextInt(200),
                    () -> {
                        if (incarnation.equals(s.mIncarnation)) {
                            run(s, attempt);
                        }
                    });
        }

        private void run(Server s, Attempt attempt) {
            Optional<String> bad = attempt.mRequest.bad();
            if (bad.isEmpty() || (mCause == Cause.REQUEST && mRandom.nextBoolean())) {
                begin(attempt);
            }
            ServerIncarnation incarnation = s.mIncarnation;
            if (bad.isPresent()) {
                if (mEventsBeforeCrash == 0) {
                    crashBy(bad.get(), s);
                    return;
                }
                begin(attempt);
                after(
                        mEventsBeforeCrash * (long) EVENT_MILLIS,
                        () -> {
                            if (incarnation.equals(s.mIncarnation)) {
                                crashBy(bad.get(), s);
                            }
                        });
                return;
            }
            after(
                    mRandom.nextInt(800 + 2 * mEventsBeforeCrash * EVENT_MILLIS),
                    () -> {
                        if (incarnation.equals(s.mIncarnation)) {
                            s.mAttempts.remove(attempt);
                            onAnswered(attempt, attempt.mRequest.subjects(true));
                        }
                    });
        }

        private void begin(Attempt attempt) {
            attempt.mBegun = true;
            onAnswered(attempt, attempt.mRequest.segmentSubjects());
        }

        private void crashBy(String bad, Server s) {
            mCrashesMillis.put(bad, mNow);
            crash(s);
        }

        private void onAnswered(Attempt attempt, ImmutableSet<CrashSubject> subjects) {
            mGateways.get(attempt.mGateway).onAnswered(subjects, nanos());
            report(attempt.mGateway);
        }

        private void crash(Server s) {
            s.mUp = false;
            ServerIncarnation crashed = s.mIncarnation;
            s.mIncarnation = newIncarnation();
            List.copyOf(s.mAttempts).forEach(a -> after(delay(), () -> onLost(crashed, a)));
            s.mAttempts.clear();
            after(REPLACEMENT_MILLIS, () -> s.mUp = true);
        }

        /** Repeats a lost request once at the same gateway, then once for its caller. */
        private void onLost(ServerIncarnation crashed, Attempt lost) {
            CrashEvidence e = mGateways.get(lost.mGateway);
            e.onCrash(crashed, lost.lostSubjects(), nanos());
            report(lost.mGateway);
            Request request = lost.mRequest;
            boolean first = lost.mNumber % 2 == 0;
            boolean suspect = e.isSuspect(lost.lostSubjects());
            if (first && !suspect && !isBlocked(lost.mGateway, request)) {
                place(new Attempt(lost.mGateway, request, lost.mNumber + 1));
            } else if (lost.mNumber < 2) {
                after(50 + mRandom.nextInt(1_000), () -> send(request, 2));
            }
        }

        private void report(int gateway) {
            PromptEvidence changes = mGateways.get(gateway).takeChanges(nanos());
            if (changes.getSegmentsCount() > 0) {
                after(delay(), () -> relay(changes));
            }
        }

        private void relay(PromptEvidence evidence) {
            PromptEvidence changed = mRelay.messageOf(mRelay.merge(evidence, nanos()), nanos());
            for (int i = 0; i < mGateways.size(); i++) {
                int gateway = i;
                after(delay(), () -> merge(gateway, changed));
            }
        }

        private void merge(int gateway, PromptEvidence evidence) {
            mGateways.get(gateway).merge(evidence, nanos());
            report(gateway);
        }

        private void crashByChance() {
            crash(mServers.get(mRandom.nextInt(mServers.size())));
        }

        private void restartGateway() {
            int gateway = mRandom.nextInt(mGateways.size());
            CrashEvidence restarted = new CrashEvidence();
            restarted.merge(mRelay.toMessage(nanos()), nanos());
            mGateways.set(gateway, restarted);
        }

        private void restartRelay() {
            mRelay = new CrashEvidence();
            mGateways.forEach(g -> mRelay.merge(g.toMessage(nanos()), nanos()));
        }

        /**
         * Returns the arrivals with the bad segment or request after the fleet should know of it.
         */
        private long laterArrivals(String subject) {
            List<Long> crashes = mCrashesMillis.get(subject);
            if (crashes.size() < mCause.mCrashesToLearn) {
                return 0;
            }
            long learned = crashes.get(mCause.mCrashesToLearn - 1) + LEARNING_MILLIS;
            return mArrivalsMillis.get(subject).stream().filter(t -> t > learned).count();
        }
    }

    private static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("simulation.seeds", 100));
    }

    private static void assertStoppedWithoutRefusingOthers(
            Cause cause, int eventsBeforeCrash, long seed) {
        Fleet fleet = new Fleet(cause, eventsBeforeCrash, seed);
        fleet.run();
        for (String subject : fleet.mCrashesMillis.keySet()) {
            int crashes = fleet.mCrashesMillis.get(subject).size();
            assertWithMessage("later arrivals with %s, of %s crashes", subject, crashes)
                    .that(fleet.laterArrivals(subject))
                    .isAtMost(MAX_LATER_ARRIVALS);
        }
        assertWithMessage(
                        "%s sound requests, refused for %s", fleet.mSoundSent, fleet.mSoundBlocked)
                .that(fleet.mSoundBlocked.size())
                .isAtMost(fleet.mSoundSent / 50);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void fewBadPromptsReachServersAfterFiveCrashesAndOthersAreNotRefused(long seed) {
        assertStoppedWithoutRefusingOthers(Cause.SEGMENT, 0, seed);
    }

    /** The answers of sound prompts take longer, too, and are lost in the middle. */
    @ParameterizedTest
    @MethodSource("seeds")
    void fewBadPromptsReachServersThatCrashAfterSomeEventsAndOthersAreNotRefused(long seed) {
        int[] events = {1, 2, 5, 20, 60};
        assertStoppedWithoutRefusingOthers(
                Cause.SEGMENT, events[(int) (seed % events.length)], seed);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void oneBadRequestReachesFewServersAfterThreeCrashesAndOthersAreNotRefused(long seed) {
        assertStoppedWithoutRefusingOthers(Cause.REQUEST, 0, seed);
    }
}
