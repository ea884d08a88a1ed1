package org.jacinthwharf.process.control;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import java.time.Duration;
import java.util.List;
import org.jacinthwharf.connection.Link;
import org.jacinthwharf.request.crash.CrashEvidence;
import org.jacinthwharf.request.crash.CrashSubject;
import org.jacinthwharf.request.crash.ServerIncarnation;
import org.jacinthwharf.wire.generated.PromptEvidence;
import org.junit.jupiter.api.Test;

/** Guards against a gateway that goes on sending prompts that others know to crash servers. */
final class EvidenceRelayTest {
    private final ManualEventLoop mLoop = new ManualEventLoop();
    private final FakeLink mFirst = new FakeLink("10.0.0.1", "gateway");
    private final FakeLink mSecond = new FakeLink("10.0.0.2", "gateway");
    private final FakeLink mMember = new FakeLink("10.0.0.9", "control");
    private final List<Link> mLinks = List.of(mFirst, mSecond, mMember);
    private final EvidenceRelay mRelay = new EvidenceRelay(l -> l == mFirst, mLoop);

    private PromptEvidence crashes(String... servers) {
        CrashEvidence evidence = new CrashEvidence();
        for (int i = 0; i < servers.length; i++) {
            evidence.onCrash(
                    new ServerIncarnation(servers[i], 1),
                    ImmutableList.of(CrashSubject.segment("bad")),
                    mLoop.nowNanos() - (servers.length - i) * 1_000_000_000L);
        }
        return evidence.toMessage(mLoop.nowNanos());
    }

    /** Returns whether a process that has only the last message refuses the segment. */
    private boolean isBlocking(FakeLink link) {
        CrashEvidence evidence = new CrashEvidence();
        evidence.merge(Iterables.getLast(link.mSent).getPromptEvidence(), mLoop.nowNanos());
        return !evidence.blocking(ImmutableSet.of(CrashSubject.segment("bad"))).isEmpty();
    }

    @Test
    void crashesSeenByDifferentGatewaysConvictAtAll() {
        mRelay.onGatewayEvidence(mFirst, crashes("s1"), mLinks);
        mLoop.advance(Duration.ofSeconds(2));
        mRelay.onGatewayEvidence(mSecond, crashes("s2"), mLinks);
        mRelay.onUp(mFirst);
        assertThat(isBlocking(mFirst)).isTrue();
        assertThat(isBlocking(mMember)).isTrue();
    }

    @Test
    void processThatConnectsGetsAllEvidence() {
        mRelay.onGatewayEvidence(mFirst, crashes("s1", "s2"), List.of(mFirst));
        mRelay.onUp(mSecond);
        assertThat(isBlocking(mSecond)).isTrue();
    }

    @Test
    void evidenceThatIsKnownIsNotForwardedAgain() {
        mRelay.onGatewayEvidence(mFirst, crashes("s1", "s2"), mLinks);
        mLinks.forEach(l -> ((FakeLink) l).mSent.clear());
        mRelay.onGatewayEvidence(mSecond, crashes("s1", "s2"), mLinks);
        mRelay.onMemberEvidence(crashes("s1", "s2"), mLinks);
        assertThat(mFirst.mSent).isEmpty();
        assertThat(mMember.mSent).isEmpty();
    }

    @Test
    void evidenceOfMembersGoesToTheGatewaysOfThisRelayOnly() {
        mRelay.onMemberEvidence(crashes("s1", "s2"), List.of(mFirst, mSecond));
        assertThat(isBlocking(mFirst)).isTrue();
        assertThat(mSecond.mSent).isEmpty();
    }

    // Guards against evidence that is lost because a link is full.
    @Test
    void evidenceThatLinksDidNotTakeIsSentLater() {
        mSecond.mFull = true;
        mRelay.onGatewayEvidence(mFirst, crashes("s1", "s2"), mLinks);
        mSecond.mFull = false;
        mRelay.sendMissed();
        assertThat(isBlocking(mSecond)).isTrue();
        mSecond.mSent.clear();
        mRelay.sendMissed();
        assertThat(mSecond.mSent).isEmpty();
    }
}
