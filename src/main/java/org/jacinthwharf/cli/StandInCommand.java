package org.jacinthwharf.cli;

import java.util.List;
import java.util.concurrent.Callable;
import org.jacinthwharf.process.settings.Endpoint;
import org.jacinthwharf.standin.StandInOptions;
import org.jacinthwharf.standin.StandInServer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a stand-in backend server until the process is terminated. */
@Command(
        name = "stand-in",
        description = "Runs a small backend server for trials; not for a deployment.")
final class StandInCommand implements Callable<Integer> {
    @Option(names = "--id", required = true, description = "Id in announcements.")
    private String mId;

    @Option(names = "--failure-domain", required = true, description = "Its failure domain.")
    private String mFailureDomain;

    @Option(names = "--listen", required = true, description = "ip:port to serve at.")
    private String mListen;

    @Option(names = "--model", required = true, description = "Model or name of the service.")
    private String mModel;

    @Option(names = "--model-version", defaultValue = "v1", description = "Version it runs.")
    private String mVersion;

    @Option(names = "--cold-limit", defaultValue = "1", description = "Limit while cold.")
    private int mColdLimit;

    @Option(names = "--warm-limit", defaultValue = "8", description = "Limit while warm.")
    private int mWarmLimit;

    @Option(names = "--warm-up-ms", defaultValue = "1000", description = "Time to get warm.")
    private long mWarmUpMillis;

    @Option(names = "--token-ms", defaultValue = "2", description = "Time per token.")
    private long mTokenMillis;

    @Option(names = "--error-percent", defaultValue = "0", description = "Share of errors.")
    private int mErrorPercent;

    @Option(names = "--router", required = true, description = "ip:port of a router; repeatable.")
    private List<String> mRouters;

    @Override
    public Integer call() throws Exception {
        StandInOptions options =
                new StandInOptions(
                        mId,
                        mFailureDomain,
                        Endpoint.parse(mListen),
                        mModel,
                        mVersion,
                        mColdLimit,
                        mWarmLimit,
                        mWarmUpMillis,
                        mTokenMillis,
                        mErrorPercent,
                        mRouters.stream().map(Endpoint::parse).toList());
        try (StandInServer server = new StandInServer(options)) {
            server.start();
            server.join();
        }
        return 0;
    }
}
