package org.jacinthwharf.request.crash;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.wire.generated.PromptEvidence;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against refusing prompts that crash nothing, and against sending those that do. */
final class CrashEvidenceTest {
    private static final ImmutableSet<CrashSubject> BAD = subjects("common", "bad");

    private final CrashEvidence mEvidence = new CrashEvidence();
    private int mCrashes;

    private static ImmutableSet<CrashSubject> subjects(String... subjects) {
        return Arrays.stream(subjects)
                .map(CrashSubject::parse)
                .collect(ImmutableSet.toImmutableSet());
    }

    private static long seconds(double seconds) {
        return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
    }

    private ServerIncarnation newServer() {
        return new ServerIncarnation("s" + ++mCrashes, mCrashes);
    }

    private void crash(CrashEvidence evidence, double atSeconds, String... segments) {
        evidence.onCrash(newServer(), subjects(segments), seconds(atSeconds));
    }

    private static void answer(CrashEvidence evidence, double atSeconds, String... segments) {
        evidence.onAnswered(subjects(segments), seconds(atSeconds));
    }

    private boolean isBlocked(String... segments) {
        return !mEvidence.blocking(subjects(segments)).isEmpty();
    }

    @Test
    void segmentLostInTwoCrashesIsBlockedAndTheOthersOfItsPromptsAreNot() {
        crash(mEvidence, 1, "common", "bad");
        answer(mEvidence, 1.5, "common", "team");
        crash(mEvidence, 2, "common", "bad");
        answer(mEvidence, 2.5, "common");
        assertThat(mEvidence.blocking(BAD)).containsExactlyElementsIn(subjects("bad"));
        assertThat(isBlocked("common", "team")).isFalse();
    }

    @Test
    void segmentIsFoundWhateverItsPlaceAmongTheSegments() {
        for (int i = 0; i < 2; i++) {
            crash(mEvidence, i, "bad", "common", "team");
            answer(mEvidence, i + 0.5, "common", "team");
        }
        assertThat(mEvidence.convicted()).containsExactlyElementsIn(subjects("bad"));
    }

    @Test
    void twoBadSegmentsAreBothFound() {
        for (int i = 0; i < 4; i++) {
            crash(mEvidence, i, "common", i % 2 == 0 ? "bad1" : "bad2");
            answer(mEvidence, i + 0.5, "common");
        }
        assertThat(mEvidence.convicted()).containsExactlyElementsIn(subjects("bad1", "bad2"));
    }

    // Guards against blocking the common segment when a rack loses power.
    @Test
    void crashesAtTheSameMomentCountOnce() {
        for (int i = 0; i < 8; i++) {
            crash(mEvidence, 1 + i * 0.01, "common", "team");
        }
        assertThat(mEvidence.convicted()).isEmpty();
    }

    @Test
    void segmentWithWhichAnswersBeganBeforeNeedsMoreCrashes() {
        answer(mEvidence, 0.5, "common");
        crash(mEvidence, 1, "common");
        crash(mEvidence, 2, "common");
        assertThat(mEvidence.convicted()).isEmpty();
        crash(mEvidence, 3, "common");
        assertThat(mEvidence.convicted()).containsExactlyElementsIn(subjects("common"));
    }

    // Guards against refusing sound prompts because one of their segments came with a bad one.
    @Test
    void companionOfOneBadSegmentIsNotBlockedByItself() {
        crash(mEvidence, 1, "bad", "companion");
        crash(mEvidence, 2, "bad", "companion");
        assertThat(isBlocked("bad", "companion")).isTrue();
        assertThat(isBlocked("companion")).isFalse();
        answer(mEvidence, 3, "companion");
        assertThat(isBlocked("bad")).isTrue();
    }

    @Test
    void answerThatBeginsAfterTheConvictionAcquits() {
        crash(mEvidence, 1, "rare");
        crash(mEvidence, 2, "rare");
        assertThat(isBlocked("rare")).isTrue();
        answer(mEvidence, 3, "rare");
        assertThat(isBlocked("rare")).isFalse();
    }

    @Test
    void lostRequestIsSuspectOnlyIfNoAnswerWithItsSegmentsEverBegan() {
        answer(mEvidence, 0.5, "common");
        crash(mEvidence, 1, "common", "new");
        assertThat(mEvidence.isSuspect(subjects("common"))).isFalse();
        assertThat(mEvidence.isSuspect(subjects("common", "new"))).isTrue();
    }

    @Test
    void requestLostInTwoCrashesIsBlockedAndItsSegmentsAreNot() {
        crash(mEvidence, 1, "common", "request:bad");
        crash(mEvidence, 2, "common", "request:bad");
        assertThat(isBlocked("common", "request:bad")).isTrue();
        assertThat(isBlocked("common", "request:sound")).isFalse();
    }

    // Guards against a bad segment that hides behind the repeats of one request.
    @Test
    void segmentOfSeveralLostRequestsIsBlockedAlthoughEachWasRepeated() {
        crash(mEvidence, 1, "bad", "request:first");
        crash(mEvidence, 2, "bad", "request:first");
        crash(mEvidence, 3, "bad", "request:second");
        assertThat(isBlocked("bad", "request:third")).isTrue();
    }

    // Guards against refusing a sound segment because two bad requests hold it.
    @Test
    void segmentThatWasAnsweredBeforeIsNotBlockedForTwoBadRequests() {
        answer(mEvidence, 0.5, "common");
        for (String request : new String[] {"request:bad1", "request:bad2"}) {
            for (int i = 0; i < 3; i++) {
                crash(mEvidence, mCrashes + 1, "common", request);
            }
        }
        assertThat(isBlocked("common", "request:sound")).isFalse();
        assertThat(isBlocked("common", "request:bad1")).isTrue();
        assertThat(isBlocked("common", "request:bad2")).isTrue();
    }

    // Guards against refusing a sound segment that was lost in crashes of a bad one and once more.
    @Test
    void segmentThatWasAnsweredBeforeIsNotBlockedForOneCrashOfItsOwn() {
        answer(mEvidence, 0.5, "begun:team");
        crash(mEvidence, 1, "begun:team", "begun:bad");
        crash(mEvidence, 2, "begun:team", "begun:bad");
        crash(mEvidence, 3, "begun:team");
        assertThat(isBlocked("begun:team")).isFalse();
        crash(mEvidence, 4, "begun:bad");
        assertThat(isBlocked("begun:bad")).isTrue();
    }

    // Guards against a segment that turned bad and hides behind the new segments of its prompts.
    @Test
    void segmentThatWasAnsweredBeforeIsBlockedAlthoughItsPromptsHoldNewOnes() {
        answer(mEvidence, 0.5, "popular");
        for (String session : new String[] {"new1", "new2", "new3"}) {
            crash(mEvidence, mCrashes + 1, "popular", session);
            crash(mEvidence, mCrashes + 1, "popular", session);
        }
        assertThat(isBlocked("popular", "new4")).isTrue();
    }

    // Guards against a segment whose answers begin, and crash their servers later.
    @Test
    void beginOfAnswersDoesNotAcquitOfCrashesAfterIt() {
        for (int i = 0; i < 2; i++) {
            answer(mEvidence, i, "common", "bad");
            crash(mEvidence, i + 0.5, "begun:common", "begun:bad");
            answer(mEvidence, i + 0.7, "begun:common");
        }
        assertThat(isBlocked("common", "begun:common", "bad", "begun:bad")).isTrue();
        assertThat(isBlocked("common", "begun:common")).isFalse();
        answer(mEvidence, 3, "begun:bad");
        assertThat(isBlocked("bad", "begun:bad")).isFalse();
    }

    @Test
    void requestWhoseAnswerHadBegunIsRepeatedAfterTheFirstCrashOfItsSegmentsOnly() {
        crash(mEvidence, 1, "begun:new");
        assertThat(mEvidence.isSuspect(subjects("begun:new"))).isFalse();
        crash(mEvidence, 1.1, "begun:new");
        assertThat(mEvidence.isSuspect(subjects("begun:new"))).isTrue();
    }

    // Guards against refusing a popular lookup that runs on every server that others crash.
    @Test
    void requestWhoseAnswersAreWholeBetweenTheCrashesIsNotBlocked() {
        for (int i = 0; i < 6; i++) {
            crash(mEvidence, i, "request:popular", "request:bad");
            answer(mEvidence, i + 0.5, "request:popular");
        }
        assertThat(isBlocked("request:popular")).isFalse();
        assertThat(isBlocked("request:bad")).isTrue();
    }

    @Test
    void neighbourThatWasLostInSomeOfTheCrashesIsNotBlocked() {
        crash(mEvidence, 1, "request:bad", "request:neighbour");
        crash(mEvidence, 2, "request:bad", "request:neighbour");
        crash(mEvidence, 3, "request:bad");
        assertThat(isBlocked("request:neighbour")).isFalse();
        assertThat(isBlocked("request:bad")).isTrue();
    }

    @Test
    void requestIsRepeatedAfterItsFirstCrashOnly() {
        crash(mEvidence, 1, "request:bad");
        assertThat(mEvidence.isSuspect(subjects("request:bad"))).isFalse();
        crash(mEvidence, 1.1, "request:bad");
        assertThat(mEvidence.isSuspect(subjects("request:bad"))).isTrue();
    }

    @Test
    void convictionOutlivesItsEvidenceWhileSuchRequestsCome() {
        crash(mEvidence, 1, "bad");
        crash(mEvidence, 2, "bad");
        for (int minute = 1; minute < 60; minute++) {
            mEvidence.onRefused(mEvidence.blocking(BAD), seconds(60 * minute));
            mEvidence.expire(seconds(60 * minute));
            assertThat(isBlocked("bad")).isTrue();
        }
        mEvidence.expire(seconds(60 * 75));
        assertThat(isBlocked("bad")).isFalse();
    }

    // Guards against a fleet that refuses a prompt for good after its servers were mended.
    @Test
    void retestsBecomeRarerWithEachCrash() {
        crash(mEvidence, 0, "bad");
        crash(mEvidence, 10, "bad");
        assertThat(mEvidence.retestNanos(subjects("bad"))).isEqualTo(seconds(70));
        mEvidence.onRetest(subjects("bad"), seconds(70));
        assertThat(mEvidence.retestNanos(subjects("bad"))).isGreaterThan(seconds(70));
        crash(mEvidence, 71, "bad");
        assertThat(mEvidence.retestNanos(subjects("bad"))).isEqualTo(seconds(71 + 120));
    }

    // Guards against a process that forgets the segment when it restarts.
    @Test
    void evidenceOfAnotherProcessBlocksTheSameRequests() {
        crash(mEvidence, 1, "bad");
        crash(mEvidence, 2, "bad");
        CrashEvidence restarted = new CrashEvidence();
        long later = seconds(500);
        PromptEvidence message = mEvidence.toMessage(seconds(3));
        assertThat(restarted.merge(message, later)).containsExactlyElementsIn(subjects("bad"));
        assertThat(restarted.blocking(BAD)).containsExactlyElementsIn(subjects("bad"));
        assertThat(restarted.merge(message, later)).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void processesAgreeWhateverTheOrderOfTheirMessages(long seed) {
        Random random = new Random(seed);
        List<CrashEvidence> processes = new ArrayList<>();
        List<PromptEvidence> messages = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            processes.add(new CrashEvidence());
        }
        for (int i = 0; i < 40; i++) {
            CrashEvidence p = processes.get(random.nextInt(4));
            String segment = "g" + random.nextInt(6);
            if (random.nextInt(4) > 0) {
                crash(p, i, segment, "common");
            } else {
                answer(p, i, segment, "common");
            }
            messages.add(p.takeChanges(seconds(i)));
            if (random.nextBoolean()) {
                processes
                        .get(random.nextInt(4))
                        .merge(messages.get(random.nextInt(messages.size())), seconds(i));
            }
        }
        for (CrashEvidence p : processes) {
            messages.add(p.toMessage(seconds(40)));
        }
        while (!messages.isEmpty()) {
            List<PromptEvidence> replies = new ArrayList<>();
            for (CrashEvidence p : processes) {
                Collections.shuffle(messages, random);
                for (PromptEvidence m : messages) {
                    p.merge(m, seconds(40));
                }
                PromptEvidence reply = p.takeChanges(seconds(40));
                if (reply.getSegmentsCount() > 0) {
                    replies.add(reply);
                }
            }
            messages = replies;
        }
        for (CrashEvidence p : processes) {
            for (int i = 0; i < 6; i++) {
                assertThat(p.suspectedCrashes(CrashSubject.segment("g" + i)))
                        .isEqualTo(
                                processes.get(0).suspectedCrashes(CrashSubject.segment("g" + i)));
            }
        }
    }

    @Test
    void segmentsThatCallersInventDoNotDisplaceConvictedOnesNorGrowMemory() {
        crash(mEvidence, 1, "bad");
        crash(mEvidence, 2, "bad");
        for (int i = 0; i < 10_000; i++) {
            crash(mEvidence, 3, "invented" + i);
        }
        assertThat(isBlocked("bad")).isTrue();
        assertThat(mEvidence.toMessage(seconds(3)).getSegmentsCount()).isAtMost(4_096);
    }
}
