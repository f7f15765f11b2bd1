package io.figspan.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.RegionId;
import io.figspan.settings.Secret;
import io.figspan.settings.cfg.HostConfig;
import io.figspan.standin.StandinFiles;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;

class StartTest {
    /** Guards against a host that tells callers it does not know them because it has no settings yet. */
    @Test
    void aHostWithoutSettingsRefusesWithATimeToComeBack() throws Exception {
        HostProcess host = startWithoutSettings();
        HttpRequest request = HttpRequest.newBuilder(LoopbackFleet.uri(host.callerPort(), "/v1/completions"))
                .header("Figspan-Organisation", LoopbackFleet.ORGANISATION)
                .POST(HttpRequest.BodyPublishers.ofString("{\"prompt\":\"abc\"}"))
                .build();
        HttpResponse<String> response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
        LoopbackFleet.await(host.close());
        assertEquals(503, response.statusCode());
        assertEquals("1", response.headers().firstValue("Retry-After").orElse(""));
        assertTrue(response.body().contains("\"run\":\"notRun\""), response.body());
    }

    /** Guards against a process that runs until it is killed because its stop came before its first settings. */
    @Test
    void aHostThatIsStoppedBeforeItHasSettingsEnds() throws Exception {
        LoopbackFleet.await(startWithoutSettings().shutDown());
    }

    private static HostProcess startWithoutSettings() throws Exception {
        StandinFiles.HostPorts ports =
                StandinFiles.pickPorts(LoopbackFleet.ADDRESS, 1).get(0);
        HostConfig config = HostConfig.of(HostId.of("host-1"), RegionId.of("region-1"), AvailabilityZoneId.of("az-1"))
                .withCallerPort(0)
                .withOperatorPort(0)
                .withPeerPort(ports.peerPort())
                .withPeerKey(new Secret("a-key-of-this-test-with-32-characters"));
        HostProcess host = LoopbackFleet.await(HostProcess.create(config, LoopbackFleet.limits(1_000, 10_000)));
        LoopbackFleet.await(host.start());
        return host;
    }
}
