package org.jacinthwharf.process.router;

import static com.google.common.truth.Truth.assertThat;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Origin;
import org.eclipse.jetty.client.transport.HttpDestination;
import org.junit.jupiter.api.Test;

/** Guards against a client that fails while its idle destinations are removed. */
final class HttpFactoryTest {
    @Test
    void newDestinationIsNotRemovedAsIdleBeforeItsFirstRequest() throws Exception {
        HttpClient client = new HttpFactory().newClient();
        client.start();
        try {
            Origin origin = new Origin("http", "127.0.0.1", 1);
            HttpDestination destination = (HttpDestination) client.resolveDestination(origin);
            assertThat(destination.sweep()).isFalse();
            assertThat(destination.isRunning()).isTrue();
        } finally {
            client.stop();
        }
    }
}
