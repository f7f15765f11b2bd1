package io.figspan.settings;

import static io.figspan.settings.SettingType.CHOICE;
import static io.figspan.settings.SettingType.FLAG;
import static io.figspan.settings.SettingType.INTEGER;
import static io.figspan.settings.SettingType.MODELS;
import static io.figspan.settings.SettingType.NUMBER;
import static io.figspan.settings.SettingType.ROSTER;
import static io.figspan.settings.SettingType.SECRET;
import static io.figspan.settings.SettingType.TEXT;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Map;
import java.util.Optional;

/**
 * Every key of the settings tree, with its TOML path, type, unit, default, the levels that may set it, and its range.
 */
public enum SettingKey {
    // --- Organisations

    /** Fraction of the total load that comes from the organisation; determines the size of its entry list. */
    SHARE("share", NUMBER, "fraction", "0", Levels.ORGANISATION_ONLY, 0, 1),
    /** Weight of the organisation in fair sharing of capacity. */
    WEIGHT("weight", NUMBER, "ratio", "1", Levels.UP_TO_ORGANISATION, 0.001, 1_000),
    /** Rate limit of an organisation over all hosts. The default allows about 20 short prompts per second. */
    LIMITS_TOKENS_PER_SECOND(
            "limits.tokensPerSecond", INTEGER, "tokens/s", "20_000", Levels.UP_TO_ORGANISATION, 1, 1_000_000_000),
    /** Largest burst after an idle period, in tokens. The default admits one prompt of the maximum length. */
    LIMITS_BURST_TOKENS(
            "limits.burstTokens", INTEGER, "tokens", "2_000_000", Levels.UP_TO_ORGANISATION, 1, 1_000_000_000),

    // --- Priorities

    /** Priority of a request that does not specify one. */
    PRIORITIES_DEFAULT("priorities.default", "standard", Levels.ALL, "interactive", "standard", "batch"),
    /** Highest priority that a request may specify; a higher one is reduced to it. */
    PRIORITIES_HIGHEST("priorities.highest", "interactive", Levels.ALL, "interactive", "standard", "batch"),

    // --- Prompts

    /** Fixed part of the deadline of a prompt that does not specify one. */
    PROMPTS_DEADLINE_MS("prompts.deadlineMs", INTEGER, "ms", "10_000", Levels.ALL, 1, 3_600_000),
    /** Deadline extension for each thousand prompt tokens. By default, a million tokens add 200 s. */
    PROMPTS_DEADLINE_MS_PER_THOUSAND_TOKENS(
            "prompts.deadlineMsPerThousandTokens", INTEGER, "ms", "200", Levels.ALL, 0, 60_000),
    /** Longest prompt that is accepted. */
    PROMPTS_MAX_TOKENS("prompts.maxTokens", INTEGER, "tokens", "1_000_000", Levels.ALL, 1, 10_000_000),
    /** Maximum number of tokens generated for one request. */
    PROMPTS_MAX_OUTPUT_TOKENS("prompts.maxOutputTokens", INTEGER, "tokens", "4_096", Levels.ALL, 1, 1_000_000),

    // --- Services

    /** Whether the service takes prompts or orders. */
    KIND("kind", "prompt", Levels.SERVICE_ONLY, "prompt", "order"),
    /** Model of the service, one of {@link #MODELS_TABLE}; if empty, the request specifies the model. */
    MODEL("model", TEXT, "", "", Levels.UP_TO_SERVICE, 0, 0),
    /** Deadline of an order that does not specify one. */
    ORDERS_DEADLINE_MS("orders.deadlineMs", INTEGER, "ms", "10_000", Levels.ALL, 1, 3_600_000),
    /** Validity period of a ticket, from its issue. */
    ORDERS_TICKET_VALID_MS("orders.ticketValidMs", INTEGER, "ms", "120_000", Levels.UP_TO_SERVICE, 1_000, 3_600_000),
    /** How long the outcome of an order can be queried after its ticket has expired. */
    ORDERS_OUTCOME_KEPT_MS("orders.outcomeKeptMs", INTEGER, "ms", "600_000", Levels.UP_TO_SERVICE, 0, 86_400_000),
    /** Whether the service honours the ticket id as an idempotency key, so that the owner may retry. */
    ORDERS_IDEMPOTENCY_KEY("orders.idempotencyKey", FLAG, "", "false", Levels.SERVICE_ONLY, 0, 0),
    /** Whether the service's claim that an order was not run is trusted and passed on to the caller. */
    ORDERS_TRUSTS_NOT_RUN_PROOF("orders.trustsNotRunProof", FLAG, "", "false", Levels.SERVICE_ONLY, 0, 0),
    /** Whether the backend servers reject an order with a stale fencing token. */
    BACKEND_CHECKS_FENCING_TOKENS("backend.checksFencingTokens", FLAG, "", "false", Levels.FLEET_AND_SERVICE, 0, 0),

    // --- Fleet

    /** Entry hosts with their availability zones. */
    ROSTER_TABLE("roster", ROSTER, "", "", Levels.FLEET_ONLY, 0, 0),
    /** Models, each with its share of the engines and its version. */
    MODELS_TABLE("models", MODELS, "", "", Levels.FLEET_ONLY, 0, 0),
    /** Key of resume tokens and tickets; at least 32 characters, the output length of SHA-256 in bytes. */
    TOKEN_KEY("tokenKey", SECRET, "characters", "", Levels.FLEET_ONLY, 32, 1_024),
    /** Number of runners that one host uses. The maximum is the limit on the load views that a host keeps. */
    PLACEMENT_SUBSET_SIZE("placement.subsetSize", INTEGER, "runners", "24", Levels.FLEET_ONLY, 1, 64),
    /** Number of runners compared for one placement. */
    PLACEMENT_SAMPLE_SIZE("placement.sampleSize", INTEGER, "runners", "20", Levels.FLEET_ONLY, 1, 64),
    /** Fraction of the runners kept free of long prompts while the load permits. */
    PLACEMENT_SHARE_FREE_OF_LONG("placement.shareFreeOfLong", NUMBER, "fraction", "0", Levels.FLEET_ONLY, 0, 1),
    /** Minimum length of a long prompt. The default is twice the longest length class whose slowdown is bounded. */
    PLACEMENT_LONG_PROMPT_TOKENS(
            "placement.longPromptTokens", INTEGER, "tokens", "32_000", Levels.FLEET_ONLY, 1, 10_000_000),
    /** Factor applied to the predicted duration of a request before it is compared with the time left. */
    ADMISSION_SAFETY_FACTOR("admission.safetyFactor", NUMBER, "ratio", "1.5", Levels.FLEET_ONLY, 1, 10),
    /** Maximum length of the request queue of one host; further requests are rejected. */
    ADMISSION_QUEUE_LIMIT("admission.queueLimit", INTEGER, "requests", "1_024", Levels.FLEET_ONLY, 1, 65_536),
    /** Retry budget: maximum number of retries as a fraction of first attempts. */
    RETRIES_BUDGET("retries.budget", NUMBER, "fraction", "0.1", Levels.UP_TO_ORGANISATION, 0, 1),
    /** Throughput of the weight store, shared by all engines. */
    WEIGHT_STORE_MEGABYTES_PER_SECOND(
            "weightStore.megabytesPerSecond", INTEGER, "MB/s", "2_000", Levels.FLEET_ONLY, 1, 1_000_000),
    /** Prefill rate of one engine. The default is that of a mid-size model on 8 accelerators. */
    ENGINES_PREFILL_TOKENS_PER_SECOND(
            "engines.prefillTokensPerSecond", INTEGER, "tokens/s", "40_000", Levels.FLEET_ONLY, 1, 1_000_000_000),
    /** Maximum number of prompt tokens in one step of an engine. */
    ENGINES_PREFILL_CHUNK_TOKENS(
            "engines.prefillChunkTokens", INTEGER, "tokens", "512", Levels.FLEET_ONLY, 1, 1_000_000),
    /** Time between two output tokens of one request on a busy engine. */
    ENGINES_DECODE_STEP_MICROS("engines.decodeStepMicros", INTEGER, "us", "30_000", Levels.FLEET_ONLY, 1, 10_000_000),
    /**
     * KV cache capacity of an engine that does not report it. A prompt of a million tokens needs more than two engines.
     */
    ENGINES_MEMORY_TOKENS("engines.memoryTokens", INTEGER, "tokens", "400_000", Levels.FLEET_ONLY, 1, 1_000_000_000);

    private static final ImmutableMap<SettingKey, Object> DEFAULTS = collectDefaults();
    private static final ImmutableMap<String, SettingKey> BY_PATH = collectPaths();

    private final String path;
    private final SettingType type;
    private final String unit;
    private final String defaultText;
    private final ImmutableSet<SettingsLevel> levels;
    private final double minimum;
    private final double maximum;
    private final ImmutableList<String> choices;

    SettingKey(
            String path,
            SettingType type,
            String unit,
            String defaultText,
            ImmutableSet<SettingsLevel> levels,
            double minimum,
            double maximum) {
        this.path = path;
        this.type = type;
        this.unit = unit;
        this.defaultText = defaultText;
        this.levels = levels;
        this.minimum = minimum;
        this.maximum = maximum;
        this.choices = ImmutableList.of();
    }

    SettingKey(String path, String defaultText, ImmutableSet<SettingsLevel> levels, String... choices) {
        this.path = path;
        this.type = CHOICE;
        this.unit = "";
        this.defaultText = defaultText;
        this.levels = levels;
        this.minimum = 0;
        this.maximum = 0;
        this.choices = ImmutableList.copyOf(choices);
    }

    public static Optional<SettingKey> ofPath(String path) {
        return Optional.ofNullable(BY_PATH.get(path));
    }

    /** Dotted path below the table of a level, such as {@code prompts.deadlineMs}. */
    public String path() {
        return path;
    }

    public SettingType type() {
        return type;
    }

    /** Unit of the value; empty when it has none. */
    public String unit() {
        return unit;
    }

    public Object defaultValue() {
        return DEFAULTS.get(this);
    }

    /** Levels that may set this key. */
    public ImmutableSet<SettingsLevel> levels() {
        return levels;
    }

    /** The values allowed for a choice; empty for other types. */
    public ImmutableList<String> choices() {
        return choices;
    }

    public double minimum() {
        return minimum;
    }

    public double maximum() {
        return maximum;
    }

    long requireInRange(long value) {
        requireInRange((double) value);
        return value;
    }

    double requireInRange(double value) {
        boolean inside = value >= minimum && value <= maximum;
        if (!inside) {
            throw new InvalidSettingException(plain(value) + " is outside " + plain(minimum) + " to " + plain(maximum)
                    + (unit.isEmpty() ? "" : " " + unit));
        }
        return value;
    }

    void requireSecretLength(int lengthChars) {
        boolean inside = lengthChars >= minimum && lengthChars <= maximum;
        if (!inside) {
            throw new InvalidSettingException("the secret has " + lengthChars + " characters, outside " + plain(minimum)
                    + " to " + plain(maximum));
        }
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < Long.MAX_VALUE
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    private static ImmutableMap<SettingKey, Object> collectDefaults() {
        ImmutableMap.Builder<SettingKey, Object> defaults = ImmutableMap.builder();
        for (SettingKey key : values()) {
            defaults.put(key, key.type.parseDefault(key.defaultText));
        }
        return defaults.buildOrThrow();
    }

    private static ImmutableMap<String, SettingKey> collectPaths() {
        ImmutableMap.Builder<String, SettingKey> paths = ImmutableMap.builder();
        for (SettingKey key : values()) {
            paths.put(Map.entry(key.path, key));
        }
        return paths.buildOrThrow();
    }

    /** Sets of levels used by several keys. */
    private static final class Levels {
        static final ImmutableSet<SettingsLevel> FLEET_ONLY = ImmutableSet.of(SettingsLevel.FLEET);
        static final ImmutableSet<SettingsLevel> ORGANISATION_ONLY = ImmutableSet.of(SettingsLevel.ORGANISATION);
        static final ImmutableSet<SettingsLevel> SERVICE_ONLY = ImmutableSet.of(SettingsLevel.SERVICE);
        static final ImmutableSet<SettingsLevel> FLEET_AND_SERVICE =
                ImmutableSet.of(SettingsLevel.FLEET, SettingsLevel.SERVICE);
        static final ImmutableSet<SettingsLevel> UP_TO_ORGANISATION =
                ImmutableSet.of(SettingsLevel.FLEET, SettingsLevel.ORGANISATION);
        static final ImmutableSet<SettingsLevel> UP_TO_SERVICE =
                ImmutableSet.of(SettingsLevel.FLEET, SettingsLevel.ORGANISATION, SettingsLevel.SERVICE);
        static final ImmutableSet<SettingsLevel> ALL = ImmutableSet.of(
                SettingsLevel.FLEET, SettingsLevel.ORGANISATION, SettingsLevel.SERVICE, SettingsLevel.PLACE);

        private Levels() {}
    }
}
