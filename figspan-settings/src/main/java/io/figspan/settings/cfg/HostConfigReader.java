package io.figspan.settings.cfg;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.google.common.net.InetAddresses;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.RegionId;
import io.figspan.core.util.NearestName;
import io.figspan.settings.Secret;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Reads {@code host.toml}, the configuration of one process. Throws a {@link FigspanException} that names the file and
 * the invalid key.
 */
public final class HostConfigReader {
    private static final TomlMapper MAPPER = new TomlMapper();

    private static final Set<String> KEYS = Set.of(
            "hostId",
            "region",
            "availabilityZone",
            "bindAddress",
            "callerPort",
            "operatorPort",
            "peerPort",
            "seedPeers",
            "peerKey",
            "peerKeyFile",
            "tokenKey",
            "tokenKeyFile",
            "configurationService",
            "hostList",
            "keepSeconds",
            "shutdownMarginSeconds",
            "shutdownGraceSeconds");

    /** Shortest key of the HMAC on frames, in characters: the output length of SHA-256 in bytes. */
    private static final int MIN_KEY_CHARS = 32;

    private final String source;
    private final Path directory;
    private final JsonNode document;

    private HostConfigReader(String source, Path directory, JsonNode document) {
        this.source = source;
        this.directory = directory;
        this.document = document;
    }

    public static HostConfig readFile(Path file) {
        try {
            return read(file.toString(), file.toAbsolutePath().getParent(), Files.readString(file));
        } catch (IOException e) {
            throw new FigspanException(
                    ProblemKind.HOST_FILE_INVALID, "the file cannot be read", Location.of(file.toString()), e);
        }
    }

    /** Parses the text of a host file; the paths of key files are resolved against {@code directory}. */
    public static HostConfig read(String source, Path directory, String toml) {
        try {
            HostConfigReader reader = new HostConfigReader(source, directory, MAPPER.readTree(toml));
            return reader.readConfig();
        } catch (JsonProcessingException e) {
            Location location = e.getLocation() == null
                    ? Location.of(source)
                    : new Location(
                            source, e.getLocation().getLineNr(), e.getLocation().getColumnNr());
            throw new FigspanException(ProblemKind.HOST_FILE_INVALID, "not a TOML document", location, e);
        }
    }

    private HostConfig readConfig() {
        requireKnownKeys();
        return new HostConfig(
                HostId.of(requiredText("hostId")),
                RegionId.of(requiredText("region")),
                AvailabilityZoneId.of(requiredText("availabilityZone")),
                readBindAddress(),
                readInt("callerPort", HostConfig.DEFAULT_CALLER_PORT, 65_535),
                readInt("operatorPort", HostConfig.DEFAULT_OPERATOR_PORT, 65_535),
                readInt("peerPort", HostConfig.DEFAULT_PEER_PORT, 65_535),
                readSeedPeers(),
                requiredSecret("peerKey"),
                readSecret("tokenKey"),
                readAddress("configurationService"),
                readAddress("hostList"),
                readInt("keepSeconds", HostConfig.DEFAULT_KEEP_SECONDS, 86_400),
                readInt("shutdownMarginSeconds", HostConfig.DEFAULT_SHUTDOWN_MARGIN_SECONDS, 86_400),
                readInt("shutdownGraceSeconds", HostConfig.DEFAULT_SHUTDOWN_GRACE_SECONDS, 1, 86_400));
    }

    private void requireKnownKeys() {
        for (Iterator<String> names = document.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!KEYS.contains(name)) {
                String suggestion = NearestName.suggest(name, KEYS)
                        .map(near -> "; the nearest is '" + near + "'")
                        .orElse("");
                throw invalid("unknown key '" + name + "'" + suggestion);
            }
        }
    }

    private String readBindAddress() {
        String address = optionalText("bindAddress").orElse("127.0.0.1");
        if (!InetAddresses.isInetAddress(address)) {
            throw invalid("key 'bindAddress': '" + address + "' is not an IP address");
        }
        return address;
    }

    private List<PeerAddress> readSeedPeers() {
        JsonNode node = document.path("seedPeers");
        if (node.isMissingNode()) {
            return List.of();
        }
        if (!node.isArray()) {
            throw invalid("key 'seedPeers': expected an array of \"ADDRESS:PORT\"");
        }
        List<PeerAddress> peers = new ArrayList<>();
        node.forEach(element -> peers.add(parseAddress("seedPeers", element.asText())));
        return peers;
    }

    private Optional<PeerAddress> readAddress(String key) {
        return optionalText(key).map(text -> parseAddress(key, text));
    }

    private PeerAddress parseAddress(String key, String text) {
        try {
            return PeerAddress.parse(text);
        } catch (FigspanException e) {
            throw invalid("key '" + key + "': " + e.detail());
        }
    }

    private Secret requiredSecret(String key) {
        Secret secret = readSecret(key);
        if (!secret.isPresent()) {
            throw invalid("neither '" + key + "' nor '" + key + "File' is set");
        }
        return secret;
    }

    /** Reads a secret from its key or from the file at the path in {@code <key>File}; empty if neither is set. */
    private Secret readSecret(String key) {
        Optional<String> file = optionalText(key + "File");
        Optional<String> text = optionalText(key);
        if (file.isPresent() && text.isPresent()) {
            throw invalid("both '" + key + "' and '" + key + "File' are set");
        }
        String secret = file.map(name -> readKeyFile(key, name)).or(() -> text).orElse("");
        if (!secret.isEmpty() && secret.length() < MIN_KEY_CHARS) {
            throw invalid("key '" + key + "': the secret has fewer than " + MIN_KEY_CHARS + " characters");
        }
        return new Secret(secret);
    }

    private String readKeyFile(String key, String name) {
        try {
            return Files.readString(directory.resolve(name)).strip();
        } catch (IOException e) {
            throw invalid("key '" + key + "File': the file '" + name + "' cannot be read");
        }
    }

    private String requiredText(String key) {
        return optionalText(key).orElseThrow(() -> invalid("key '" + key + "' is missing"));
    }

    private Optional<String> optionalText(String key) {
        JsonNode node = document.path(key);
        if (node.isMissingNode()) {
            return Optional.empty();
        }
        if (!node.isTextual()) {
            throw invalid("key '" + key + "': expected a string");
        }
        return Optional.of(node.textValue());
    }

    private int readInt(String key, int defaultValue, int maximum) {
        return readInt(key, defaultValue, 0, maximum);
    }

    private int readInt(String key, int defaultValue, int minimum, int maximum) {
        JsonNode node = document.path(key);
        if (node.isMissingNode()) {
            return defaultValue;
        }
        boolean valid = node.isInt() && node.intValue() >= minimum && node.intValue() <= maximum;
        if (!valid) {
            throw invalid("key '" + key + "': expected a whole number from " + minimum + " to " + maximum);
        }
        return node.intValue();
    }

    private FigspanException invalid(String detail) {
        return new FigspanException(ProblemKind.HOST_FILE_INVALID, detail, Location.of(source));
    }
}
