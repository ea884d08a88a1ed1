package org.jacinthwharf.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Ascii;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.jacinthwharf.process.settings.Endpoint;

/**
 * A small backend server for trials, tests and benchmarks that announces itself to routers.
 *
 * <p>Thread-safe. Not meant for production deployments.
 */
public final class StandInServer implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration ANNOUNCE_INTERVAL = Duration.ofSeconds(1);
    private static final Duration ANNOUNCE_TIMEOUT = Duration.ofMillis(800);

    private final StandInOptions mOptions;
    private final Endpoint mAnnouncedAddress;
    private final StandInState mState;
    private final Server mServer = new Server();
    private final HttpClient mClient = new HttpClient();
    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(2);
    private final long mIncarnation = System.currentTimeMillis();
    private long mSequence;
    private int mRouterIndex;

    /** Creates a server; {@link #start} starts it. */
    public StandInServer(StandInOptions options) {
        this(options, options.listen());
    }

    /** Creates a server that announces an address other than its own, such as that of a relay. */
    public StandInServer(StandInOptions options, Endpoint announcedAddress) {
        mOptions = options;
        mAnnouncedAddress = announcedAddress;
        mState = new StandInState(mIncarnation + options.warmUpMillis());
    }

    /**
     * Starts serving and announcing.
     *
     * @throws Exception if the port cannot be bound
     */
    public void start() throws Exception {
        ServerConnector connector = new ServerConnector(mServer, 1, 1);
        connector.setHost(mOptions.listen().ip());
        connector.setPort(mOptions.listen().port());
        mServer.addConnector(connector);
        mServer.setHandler(new StandInHandler(mOptions, mState, mTimer));
        mServer.start();
        mClient.start();
        mTimer.scheduleWithFixedDelay(
                this::announce, 0, ANNOUNCE_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Waits until the server is closed. */
    public void join() throws InterruptedException {
        mServer.join();
    }

    private void announce() {
        int routerCount = mOptions.routers().size();
        for (int i = 0; i < routerCount; i++) {
            if (announceTo(mOptions.routers().get(mRouterIndex))) {
                return;
            }
            mRouterIndex = (mRouterIndex + 1) % routerCount;
        }
    }

    private boolean announceTo(Endpoint router) {
        mSequence++;
        ObjectNode body = JSON.createObjectNode();
        body.put("id", mOptions.id())
                .put("incarnation", mIncarnation)
                .put("sequence", mSequence)
                .put("failureDomain", mOptions.failureDomain())
                .put("address", mAnnouncedAddress.toString())
                .put("model", mOptions.model())
                .put("version", mOptions.version())
                .put("state", Ascii.toLowerCase(mState.state().name()))
                .put("coldLimit", mOptions.coldLimit())
                .put("warmLimit", mOptions.warmLimit())
                .put("running", mState.running())
                .put("checksFencing", false);
        try {
            return mClient.POST("http://" + router + "/v1/announce")
                            .body(new StringRequestContent("application/json", body.toString()))
                            .timeout(ANNOUNCE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                            .send()
                            .getStatus()
                    < 300;
        } catch (ExecutionException | TimeoutException e) {
            LOGGER.atFine().log("event=announce_failed router=%s cause='%s'", router, e);
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    @Override
    public void close() throws Exception {
        mTimer.shutdownNow();
        mClient.stop();
        mServer.stop();
    }
}
