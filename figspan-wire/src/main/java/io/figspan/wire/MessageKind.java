package io.figspan.wire;

import io.figspan.cluster.message.PeerMessage;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Message kinds with their wire codes and body size limits. */
enum MessageKind {
    PING(1, PeerMessage.Ping.class),
    ACK(2, PeerMessage.Ack.class),
    PING_REQUEST(3, PeerMessage.PingRequest.class),
    MEMBERS_PULL(4, PeerMessage.MembersPull.class),
    MEMBERS_PAGE(5, PeerMessage.MembersPage.class),
    LEAVING_NOTICE(6, PeerMessage.LeavingNotice.class),
    SETTINGS_OFFER(7, PeerMessage.SettingsOffer.class),
    SETTINGS_PULL(8, PeerMessage.SettingsPull.class),
    SETTINGS_MANIFEST(9, PeerMessage.SettingsManifest.class),
    SETTINGS_PART(10, PeerMessage.SettingsPart.class),
    LOAN_REQUEST(11, PeerMessage.LoanRequest.class),
    LOAN_GRANT(12, PeerMessage.LoanGrant.class),
    FORWARD_ORDER(13, PeerMessage.ForwardOrder.class),
    OUTCOME_QUERY(14, PeerMessage.OutcomeQuery.class),
    ORDER_OUTCOME(15, PeerMessage.OrderOutcome.class),
    SETTINGS_PART_PULL(16, PeerMessage.SettingsPartPull.class),
    WORK_REPORT(17, PeerMessage.WorkReport.class),
    SETTINGS_BUSY(18, PeerMessage.SettingsBusy.class),
    CRASH_EVIDENCE(19, PeerMessage.CrashEvidence.class),
    SERVER_LIMIT_USES(20, PeerMessage.ServerLimitUses.class),
    COLD_SERVER_USES(21, PeerMessage.ColdServerUses.class);

    /** Largest body of any message other than a settings part, as the design page specifies. */
    static final int MAX_CONTROL_BYTES = 65_536;

    /** Largest body of a settings part, as the design page specifies. */
    static final int MAX_PART_BYTES = 4 * 1024 * 1024;

    private static final Map<Integer, MessageKind> BY_CODE =
            Arrays.stream(values()).collect(Collectors.toMap(MessageKind::code, Function.identity()));

    private static final Map<Class<? extends PeerMessage>, MessageKind> BY_TYPE =
            Arrays.stream(values()).collect(Collectors.toMap(MessageKind::type, Function.identity()));

    private final int code;
    private final Class<? extends PeerMessage> type;

    MessageKind(int code, Class<? extends PeerMessage> type) {
        this.code = code;
        this.type = type;
    }

    int code() {
        return code;
    }

    Class<? extends PeerMessage> type() {
        return type;
    }

    int maxBodyBytes() {
        return this == SETTINGS_PART ? MAX_PART_BYTES : MAX_CONTROL_BYTES;
    }

    static Optional<MessageKind> ofCode(int code) {
        return Optional.ofNullable(BY_CODE.get(code));
    }

    static MessageKind of(PeerMessage message) {
        return BY_TYPE.get(message.getClass());
    }
}
