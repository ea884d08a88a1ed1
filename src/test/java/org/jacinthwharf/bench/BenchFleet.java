package org.jacinthwharf.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.jacinthwharf.process.FreePorts;
import org.jacinthwharf.process.settings.Endpoint;

/**
 * A fleet of separate processes on loopback: three control members, routers in two failure domains,
 * and stand-in backend servers. The JVM options are those of the README.
 *
 * <p>Not thread-safe. {@link #close} terminates every process that it started.
 */
final class BenchFleet implements AutoCloseable {
    static final List<String> DOMAINS = List.of("fd-a", "fd-b");

    private static final int CONTROL_MEMBERS = 3;
    private static final String TOKEN = "bench-token-of-this-run";

    final List<Endpoint> mRouterHttp = new ArrayList<>();
    final List<Endpoint> mRouterAdmin = new ArrayList<>();
    final List<BenchProcess> mRouters = new ArrayList<>();
    final List<Endpoint> mControlHttp = new ArrayList<>();
    final List<Endpoint> mControlAdmin = new ArrayList<>();
    final List<BenchProcess> mControls = new ArrayList<>();
    final BenchHttp mHttp = new BenchHttp(TOKEN);
    private final List<BenchProcess> mStandIns = new ArrayList<>();
    private final Path mWorkFolder = Files.createTempDirectory("jacinthwharf-bench");
    private final Deque<Endpoint> mFreePorts = new ArrayDeque<>();
    private final int mRouterCount;

    BenchFleet(int routers) throws Exception {
        mRouterCount = routers;
        allocatePorts(3 * (routers + CONTROL_MEMBERS) + 40);
        Path token = mWorkFolder.resolve("token");
        Files.writeString(token, TOKEN);
        Files.setPosixFilePermissions(token, PosixFilePermissions.fromString("rw-------"));
        List<Endpoint> controlPeer = new ArrayList<>();
        List<Endpoint> routerPeer = new ArrayList<>();
        StringBuilder members = new StringBuilder();
        StringBuilder routerList = new StringBuilder();
        for (int i = 0; i < CONTROL_MEMBERS; i++) {
            controlPeer.add(mFreePorts.remove());
            mControlHttp.add(mFreePorts.remove());
            mControlAdmin.add(mFreePorts.remove());
            members.append(i == 0 ? "" : ",").append(vmJson(i, controlPeer.get(i)));
            members.append(",\"http\":\"").append(mControlHttp.get(i)).append("\"}");
        }
        for (int i = 0; i < routers; i++) {
            routerPeer.add(mFreePorts.remove());
            mRouterHttp.add(mFreePorts.remove());
            mRouterAdmin.add(mFreePorts.remove());
            routerList.append(i == 0 ? "" : ",").append(vmJson(i, routerPeer.get(i))).append("}");
        }
        String peersJson = ",\"controlMembers\":[" + members + "],\"routers\":[" + routerList + "]";
        for (int i = 0; i < CONTROL_MEMBERS; i++) {
            String ownJson =
                    vmJson(i, null)
                            + listenJson(mControlHttp, controlPeer, mControlAdmin, i)
                            + peersJson;
            Files.writeString(
                    mWorkFolder.resolve("control" + i + ".json"),
                    ownJson.replaceFirst("\\{", "{\"role\":\"control\",")
                            + ",\"dataFolder\":\""
                            + mWorkFolder.resolve("data" + i)
                            + "\",\"operatorTokenFile\":\""
                            + token
                            + "\"}");
            mControls.add(startControl(i));
        }
        for (int i = 0; i < routers; i++) {
            String ownJson =
                    vmJson(i, null)
                            + listenJson(mRouterHttp, routerPeer, mRouterAdmin, i)
                            + peersJson;
            Files.writeString(
                    mWorkFolder.resolve("router" + i + ".json"),
                    ownJson.replaceFirst("\\{", "{\"role\":\"router\",")
                            + ",\"limits\":{\"drainDelayMs\":100}}");
            mRouters.add(start("router" + i, "router", "-Xmx160m"));
        }
        for (String domain : DOMAINS) {
            change("/v1/failure-domains/" + domain, "{\"out\":false,\"region\":\"bench\"}");
        }
        for (int i = 0; i < routers; i++) {
            Endpoint admin = mRouterAdmin.get(i);
            await("router " + i + " ready", () -> !getOrEmpty(admin, "/ready").isEmpty());
        }
    }

    static String domainOf(int vm) {
        return DOMAINS.get(vm % DOMAINS.size());
    }

    private static String vmJson(int i, Endpoint peer) {
        String text = "{\"vmId\":\"vm%d\",\"failureDomain\":\"%s\",\"region\":\"bench\"";
        return text.formatted(i, domainOf(i)) + (peer == null ? "" : ",\"peer\":\"" + peer + "\"");
    }

    private static String listenJson(
            List<Endpoint> http, List<Endpoint> peer, List<Endpoint> admin, int i) {
        return ",\"listen\":{\"http\":\"%s\",\"peer\":\"%s\",\"admin\":\"%s\"}"
                .formatted(http.get(i), peer.get(i), admin.get(i));
    }

    private void allocatePorts(int count) {
        for (int i = 0; i < count; i++) {
            mFreePorts.add(Endpoint.parse("127.0.0.1:" + FreePorts.next()));
        }
    }

    /** Starts or restarts control member {@code i}. */
    BenchProcess startControl(int i) throws IOException {
        return start("control" + i, "control", "-Xmx64m");
    }

    private BenchProcess start(String name, String role, String memory) throws IOException {
        return BenchProcess.start(
                mWorkFolder.resolve(name + ".log"),
                List.of(memory),
                List.of(role, "--settings", mWorkFolder.resolve(name + ".json").toString()));
    }

    /** Starts a stand-in that is warm from the start, and returns its address. */
    Endpoint startStandIn(String id, String domain, String model, String... options)
            throws IOException {
        Endpoint listen = mFreePorts.remove();
        List<String> arguments = new ArrayList<>(List.of("stand-in", "--id", id));
        arguments.addAll(List.of("--failure-domain", domain, "--listen", listen.toString()));
        arguments.addAll(List.of("--model", model, "--warm-up-ms", "0"));
        for (int i = 0; i < mRouterCount; i++) {
            if (domainOf(i).equals(domain)) {
                arguments.addAll(List.of("--router", mRouterHttp.get(i).toString()));
            }
        }
        arguments.addAll(List.of(options));
        mStandIns.add(
                BenchProcess.start(
                        mWorkFolder.resolve(id + ".log"), List.of("-Xmx128m"), arguments));
        return listen;
    }

    long change(String path, String body) throws Exception {
        return mHttp.change(mControlHttp, path, body);
    }

    void putCustomers(int from, int to) throws Exception {
        for (int i = from; i < to; i++) {
            change("/v1/customers/c" + i, "{\"weight\":1,\"homeRegion\":\"bench\"}");
        }
    }

    /** Waits until the routers own at least {@code count} backend servers. */
    void awaitServers(int count) throws Exception {
        await(count + " backend servers", () -> ownedServers() >= count);
    }

    /** Returns the number of backend servers that the routers own. */
    private int ownedServers() {
        // The status of a router lists only the servers that it owns.
        int owned = 0;
        for (Endpoint admin : mRouterAdmin) {
            owned += getOrEmpty(admin, "/status").split("\"announcedRunning\"", -1).length - 1;
        }
        return owned;
    }

    private String getOrEmpty(Endpoint endpoint, String path) {
        try {
            return mHttp.get(endpoint, path);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "";
        }
    }

    /** Waits at most 60 s for a condition. */
    static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("not within 60 s: " + what);
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    @Override
    public void close() throws Exception {
        List<BenchProcess> all = new ArrayList<>(mStandIns);
        all.addAll(mRouters);
        all.addAll(mControls);
        all.forEach(BenchProcess::stop);
        for (BenchProcess process : all) {
            process.close();
        }
        mHttp.mClient.stop();
        if (System.getProperty("bench.keep") == null) {
            try (var files = Files.walk(mWorkFolder)) {
                for (Path p : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(p);
                }
            }
        }
    }
}
