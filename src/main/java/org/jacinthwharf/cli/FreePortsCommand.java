package org.jacinthwharf.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Prints free TCP ports of the loopback address, for scripts that start a trial fleet. */
@Command(name = "free-ports", hidden = true, description = "Prints free ports, one a line.")
final class FreePortsCommand implements Callable<Integer> {
    @Spec private CommandSpec mSpec;

    @Option(names = "--count", required = true, description = "How many ports.")
    private int mCount;

    @Override
    public Integer call() throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        PrintWriter out = mSpec.commandLine().getOut();
        try {
            // All sockets stay open until the last port is found, so that no port is printed twice.
            for (int i = 0; i < mCount; i++) {
                ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                sockets.add(s);
                out.println(s.getLocalPort());
            }
        } finally {
            for (ServerSocket s : sockets) {
                s.close();
            }
        }
        return 0;
    }
}
