package io.figspan.gateway.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.GatewayHarness;
import io.figspan.gateway.ScriptedServer;
import io.figspan.settings.gateway.CallerLimits;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against limits that reject, or change, a single request whose head has as many short lines as it may. */
class ShortLinesTest {
    private static final int MAX_HEADER_BYTES = CallerLimits.DEFAULT.maxHeaderBytes();

    private static String begin(String target) {
        return "GET " + target + " HTTP/1.1\r\nhost: a.example\r\nattempt: a-1\r\nconnection: close\r\nkey: "
                + GatewayHarness.KEY + "\r\n";
    }

    private static String send(GatewayHarness gateway, String text) throws IOException {
        try (Socket socket = gateway.connect()) {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    @Test
    void aHeadOfLinesOfFourBytesIsServedCompleteAndUnchanged() throws IOException {
        String begin = begin("/read/1");
        StringBuilder lines = new StringBuilder();
        List<String> names = new ArrayList<>();
        while (begin.length() + lines.length() + 4 + 2 <= MAX_HEADER_BYTES) {
            String name = Character.toString("abcdefghij".charAt(names.size() * 7 % 10));
            names.add(name);
            lines.append(name).append(":\r\n");
        }
        try (GatewayHarness gateway = new GatewayHarness();
                ScriptedServer server =
                        new ScriptedServer((request, connection) -> connection.answer(request, 200, "", ""))) {
            gateway.open(Map.of("s-1", server));

            String response = send(gateway, begin + lines + "\r\n");

            assertTrue(response.startsWith("HTTP/1.1 200"), response);
            assertEquals(
                    names,
                    server.received().get(0).lines().stream()
                            .filter(line -> line.matches("[a-j]: ?"))
                            .map(line -> line.substring(0, 1))
                            .toList());
        }
    }

    @Test
    void aHeadWithMoreLinesThanAnyOrdinaryClientSendsIsRefused() throws IOException {
        // The decoder does not count the ends of lines, so that its limit of bytes admits twice as many lines.
        try (GatewayHarness gateway = new GatewayHarness()) {
            String response =
                    send(gateway, begin("/read/1") + "a:\r\n".repeat(CallerLimits.DEFAULT.maxHeaderLines()) + "\r\n");

            assertTrue(response.startsWith("HTTP/1.1 431"), response);
        }
    }
}
