package org.jacinthwharf.bench;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.jacinthwharf.process.settings.Endpoint;

/**
 * A fleet of real processes on loopback: three control members, routers in two failure domains, and
 * stand-in backend servers. The JVM options are those of the README.
 *
 * <p>Not thread-safe. Ends every process it started.
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
    private final List<BenchProcess> mOthers = new ArrayList<>();
    private final Path mWork = Files.createTempDirectory("jacinthwharf-bench");
    private final Deque<Endpoint> mPorts = new ArrayDeque<>();
    private final int mRouterCount;

    BenchFleet(int routers) throws Exception {
        mRouterCount = routers;
        findPorts(3 * (routers + CONTROL_MEMBERS) + 40);
        Path token = mWork.resolve("token");
        Files.writeString(token, TOKEN);
        Files.setPosixFilePermissions(token, PosixFilePermissions.fromString("rw-------"));
        List<Endpoint> controlPeer = new ArrayList<>();
        List<Endpoint> routerPeer = new ArrayList<>();
        StringBuilder members = new StringBuilder();
        StringBuilder routerList = new StringBuilder();
        for (int i = 0; i < CONTROL_MEMBERS; i++) {
            controlPeer.add(mPorts.remove());
            mControlHttp.add(mPorts.remove());
            mControlAdmin.add(mPorts.remove());
            members.append(i == 0 ? "" : ",").append(place(i, controlPeer.get(i)));
            members.append(",\"http\":\"").append(mControlHttp.get(i)).append("\"}");
        }
        for (int i = 0; i < routers; i++) {
            routerPeer.add(mPorts.remove());
            mRouterHttp.add(mPorts.remove());
            mRouterAdmin.add(mPorts.remove());
            routerList.append(i == 0 ? "" : ",").append(place(i, routerPeer.get(i))).append("}");
        }
        String both = ",\"controlMembers\":[" + members + "],\"routers\":[" + routerList + "]";
        for (int i = 0; i < CONTROL_MEMBERS; i++) {
            String own =
                    place(i, null) + listen(mControlHttp, controlPeer, mControlAdmin, i) + both;
            Files.writeString(
                    mWork.resolve("control" + i + ".json"),
                    own.replaceFirst("\\{", "{\"role\":\"control\",")
                            + ",\"dataFolder\":\""
                            + mWork.resolve("data" + i)
                            + "\",\"operatorTokenFile\":\""
                            + token
                            + "\"}");
            mControls.add(startControl(i));
        }
        for (int i = 0; i < routers; i++) {
            String own = place(i, null) + listen(mRouterHttp, routerPeer, mRouterAdmin, i) + both;
            Files.writeString(
                    mWork.resolve("router" + i + ".json"),
                    own.replaceFirst("\\{", "{\"role\":\"router\",")
                            + ",\"limits\":{\"drainDelayMs\":100}}");
            mRouters.add(start("router" + i, "router", "-Xmx160m"));
        }
        for (String domain : DOMAINS) {
            change("/v1/failure-domains/" + domain, "{\"out\":false,\"region\":\"bench\"}");
        }
        for (int i = 0; i < routers; i++) {
            Endpoint admin = mRouterAdmin.get(i);
            await("router " + i + " ready", () -> !quietGet(admin, "/ready").isEmpty());
        }
    }

    static String domainOf(int vm) {
        return DOMAINS.get(vm % DOMAINS.size());
    }

    private static String place(int i, Endpoint peer) {
        String text = "{\"vmId\":\"vm%d\",\"failureDomain\":\"%s\",\"region\":\"bench\"";
        return text.formatted(i, domainOf(i)) + (peer == null ? "" : ",\"peer\":\"" + peer + "\"");
    }

    private static String listen(
            List<Endpoint> http, List<Endpoint> peer, List<Endpoint> admin, int i) {
        return ",\"listen\":{\"http\":\"%s\",\"peer\":\"%s\",\"admin\":\"%s\"}"
                .formatted(http.get(i), peer.get(i), admin.get(i));
    }

    private void findPorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            sockets.add(socket);
            mPorts.add(Endpoint.parse("127.0.0.1:" + socket.getLocalPort()));
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
    }

    /** Starts control member {@code i}, also again after it was stopped. */
    BenchProcess startControl(int i) throws IOException {
        return start("control" + i, "control", "-Xmx64m");
    }

    private BenchProcess start(String name, String role, String memory) throws IOException {
        return BenchProcess.start(
                mWork.resolve(name + ".log"),
                List.of(memory),
                List.of(role, "--settings", mWork.resolve(name + ".json").toString()));
    }

    /** Starts a stand-in, warm from the start, and returns where it serves. */
    Endpoint standIn(String id, String domain, String model, String... options) throws IOException {
        Endpoint listen = mPorts.remove();
        List<String> arguments = new ArrayList<>(List.of("stand-in", "--id", id));
        arguments.addAll(List.of("--failure-domain", domain, "--listen", listen.toString()));
        arguments.addAll(List.of("--model", model, "--warm-up-ms", "0"));
        for (int i = 0; i < mRouterCount; i++) {
            if (domainOf(i).equals(domain)) {
                arguments.addAll(List.of("--router", mRouterHttp.get(i).toString()));
            }
        }
        arguments.addAll(List.of(options));
        mOthers.add(BenchProcess.start(mWork.resolve(id + ".log"), List.of("-Xmx128m"), arguments));
        return listen;
    }

    long change(String path, String body) throws Exception {
        return mHttp.change(mControlHttp, path, body);
    }

    void customers(int from, int to) throws Exception {
        for (int i = from; i < to; i++) {
            change("/v1/customers/c" + i, "{\"weight\":1,\"homeRegion\":\"bench\"}");
        }
    }

    /** Waits until each of the servers is known to the routers of some failure domain. */
    void awaitServers(int count) throws Exception {
        await(count + " backend servers", () -> known() >= count);
    }

    /** Returns the number of backend servers that the routers own. */
    private int known() {
        // Routers list the servers they own.
        int known = 0;
        for (Endpoint admin : mRouterAdmin) {
            known += quietGet(admin, "/status").split("\"announcedRunning\"", -1).length - 1;
        }
        return known;
    }

    private String quietGet(Endpoint at, String path) {
        try {
            return mHttp.get(at, path);
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
        List<BenchProcess> all = new ArrayList<>(mOthers);
        all.addAll(mRouters);
        all.addAll(mControls);
        all.forEach(BenchProcess::stop);
        for (BenchProcess process : all) {
            process.close();
        }
        mHttp.mClient.stop();
        if (System.getProperty("bench.keep") == null) {
            try (var files = Files.walk(mWork)) {
                for (Path p : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(p);
                }
            }
        }
    }
}
