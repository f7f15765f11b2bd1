package io.figspan.settings.cfg;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.figspan.core.error.FigspanException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a host that starts with a configuration that differs from its host file. */
class HostConfigReaderTest {
    private static final String KEY = "0123456789abcdef0123456789abcdef";
    private static final String NAMES = "hostId = \"h1\"\nregion = \"r1\"\navailabilityZone = \"az-1\"\n";

    @TempDir
    Path directory;

    @Test
    void aWholeHostFileIsRead() throws IOException {
        Files.writeString(directory.resolve("peer.key"), KEY + "\n");
        HostConfig config = read(
                NAMES
                        + """
                bindAddress = "::1"
                callerPort = 0
                peerKeyFile = "peer.key"
                seedPeers = ["127.0.0.1:7402", "[::1]:7402"]
                configurationService = "127.0.0.1:9100"
                keepSeconds = 2
                shutdownGraceSeconds = 30
                """);
        assertEquals("h1", config.hostId().value());
        assertEquals(KEY, config.peerKey().text());
        assertEquals(
                List.of("127.0.0.1:7402", "[::1]:7402").toString(),
                config.seedPeers().toString());
        assertEquals(9100, config.configurationService().orElseThrow().port());
        assertEquals(2, config.keepSeconds());
        assertEquals(30, config.shutdownGraceSeconds());
        assertEquals(8, config.withShutdownGraceSeconds(8).shutdownGraceSeconds());
        assertEquals(9, config.withKeepSeconds(9).keepSeconds());
        assertFalse(config.toString().contains(KEY));
    }

    @Test
    void eachFaultNamesTheKey() {
        String key = "peerKey = \"" + KEY + "\"\n";
        Approvals.verify(Stream.of(
                        "hostId = \"h1\"\n",
                        NAMES,
                        NAMES + "peerKey = \"short\"\n",
                        NAMES + key + "peerKeyFile = \"peer.key\"\n",
                        NAMES + "peerKeyFile = \"missing.key\"\n",
                        NAMES + key + "calerPort = 1\n",
                        NAMES + key + "callerPort = 70000\n",
                        NAMES + key + "shutdownGraceSeconds = 0\n",
                        NAMES + key + "bindAddress = \"localhost\"\n",
                        NAMES + key + "seedPeers = [\"127.0.0.1\"]\n",
                        NAMES + key + "hostList = \"example.org:80\"\n",
                        NAMES + "peerKey = \n")
                .map(toml ->
                        assertThrows(FigspanException.class, () -> read(toml)).getMessage())
                .collect(Collectors.joining("\n")));
    }

    private HostConfig read(String toml) {
        return HostConfigReader.read("host.toml", directory, toml);
    }
}
