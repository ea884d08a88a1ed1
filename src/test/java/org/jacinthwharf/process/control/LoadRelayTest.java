package org.jacinthwharf.process.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.FleetLoad;
import org.jacinthwharf.wire.generated.GatewayLoad;
import org.jacinthwharf.wire.generated.ServerLoad;
import org.junit.jupiter.api.Test;

/** Guards against gateways that see an old, a double or their own load. */
final class LoadRelayTest {
    private final ManualLoop mLoop = new ManualLoop();
    private final LoadRelay mRelay = new LoadRelay(mLoop);
    private final FakeLink mA = new FakeLink("10.0.0.1", "gateway");
    private final FakeLink mB = new FakeLink("10.0.0.2", "gateway");
    private final FakeLink mC = new FakeLink("10.0.0.3", "gateway");

    private static GatewayLoad load(long sequence, long unread) {
        return GatewayLoad.newBuilder()
                .setSequence(sequence)
                .addServers(
                        ServerLoad.newBuilder()
                                .setServer("e")
                                .setRunning(1)
                                .setUnreadTokens(unread))
                .build();
    }

    private void upAll() {
        List.of(mA, mB, mC).forEach(mRelay::onUp);
        mLoop.runScheduled();
        List.of(mA, mB, mC).forEach(l -> l.mSent.clear());
    }

    private static FleetLoad last(FakeLink link) {
        Envelope last = link.mSent.get(link.mSent.size() - 1);
        return last.getFleetLoad();
    }

    @Test
    void eachGatewayHearsTheSumOfTheOthers() {
        upAll();
        mRelay.onLoad(mA, load(1, 100));
        mRelay.onLoad(mB, load(1, 20));
        mLoop.runScheduled();
        assertThat(last(mC).getServers(0).getUnreadTokens()).isEqualTo(120);
        assertThat(last(mA).getServers(0).getUnreadTokens()).isEqualTo(20);
        assertThat(last(mC).getGatewaysList()).containsExactly("10.0.0.1", "10.0.0.2", "10.0.0.3");
    }

    @Test
    void changesThatArriveTogetherAreOneMessage() {
        upAll();
        mRelay.onLoad(mA, load(1, 100));
        mRelay.onLoad(mB, load(1, 20));
        mRelay.onLoad(mA, load(2, 50));
        mLoop.runScheduled();
        assertThat(mC.mSent).hasSize(1);
        assertThat(last(mC).getServers(0).getUnreadTokens()).isEqualTo(70);
    }

    @Test
    void nothingIsSentWhileNothingChanges() {
        upAll();
        mRelay.onLoad(mA, load(1, 100));
        mLoop.runScheduled();
        mLoop.runScheduled();
        mRelay.onLoad(mA, load(1, 70));
        mLoop.runScheduled();
        assertThat(mC.mSent).hasSize(1);
        assertThat(last(mC).getServers(0).getUnreadTokens()).isEqualTo(100);
    }

    @Test
    void aGatewayThatIsGoneCountsNothing() {
        upAll();
        mRelay.onLoad(mA, load(1, 100));
        mLoop.runScheduled();
        mRelay.onDown(mA);
        mLoop.runScheduled();
        assertThat(last(mC).getServersList()).isEmpty();
        assertThat(last(mC).getGatewaysList()).containsExactly("10.0.0.2", "10.0.0.3");
    }
}
