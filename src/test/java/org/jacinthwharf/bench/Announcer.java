package org.jacinthwharf.bench;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.eclipse.jetty.client.StringRequestContent;
import org.jacinthwharf.process.settings.Endpoint;

/** Announces many idle backend servers once a second. Thread-safe. */
final class Announcer implements AutoCloseable {
    private final ScheduledExecutorService mTimer = Executors.newSingleThreadScheduledExecutor();
    private final BenchFleet mFleet;
    private final long mIncarnation = System.currentTimeMillis();
    private volatile int mServerCount;
    private long mSequence;

    Announcer(BenchFleet fleet, int servers) {
        mFleet = fleet;
        mServerCount = servers;
        mTimer.scheduleAtFixedRate(this::announceAll, 0, 1, TimeUnit.SECONDS);
    }

    void setServers(int servers) {
        mServerCount = servers;
    }

    private void announceAll() {
        mSequence++;
        for (int i = 0; i < mServerCount; i++) {
            String domain = BenchFleet.domainOf(i);
            List<Endpoint> routers =
                    IntStream.range(0, mFleet.mRouterHttp.size())
                            .filter(r -> BenchFleet.domainOf(r).equals(domain))
                            .mapToObj(mFleet.mRouterHttp::get)
                            .toList();
            String body =
                    """
                    {"id":"idle%d","incarnation":%d,"failureDomain":"%s","address":"127.0.0.1:%d",
                    "model":"idle","version":"v1","state":"warm","coldLimit":1,"warmLimit":8,
                    "running":0,"sequence":%d,"checksFencing":false}\
                    """
                            .formatted(i, mIncarnation, domain, 1 + i, mSequence);
            mFleet.mHttp
                    .mClient
                    .POST("http://" + routers.get(i / 2 % routers.size()) + "/v1/announce")
                    .body(new StringRequestContent("application/json", body))
                    .send(result -> {});
        }
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }
}
