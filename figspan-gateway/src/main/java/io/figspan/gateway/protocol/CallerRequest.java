package io.figspan.gateway.protocol;

import io.figspan.core.id.PromptPartId;
import io.figspan.policy.affinity.PromptPrefix;
import io.figspan.policy.placing.PromptLengths;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The decoded head of a caller's request.
 *
 * @param method forwarded unchanged
 * @param target path and query, forwarded unchanged
 * @param hostName the Host header, or an empty string
 * @param headers headers to forward: without connection headers and those that the gateway sets itself
 * @param attemptId the caller's id of this attempt, or an empty string
 * @param waitMs how long the caller will wait from now on
 * @param key the caller's credential
 * @param prompt lengths of the prompt, if the request has one
 * @param sharedParts the different parts of the prompt that other prompts may share, in their order; at most {@link
 *     #MAX_SHARED_PARTS}
 * @param prefix the leading shared parts whose ids and lengths can be read
 * @param lastEventId id of the last event that the caller received of a stream that it resumes
 */
public record CallerRequest(
        HttpMethod method,
        String target,
        String hostName,
        HeaderBlock headers,
        String attemptId,
        OptionalLong waitMs,
        Optional<String> key,
        Optional<PromptLengths> prompt,
        List<PromptPartId> sharedParts,
        PromptPrefix prefix,
        OptionalLong lastEventId) {
    /** As many different parts as the longest head, of 16 KB, can name; further ones are ignored. */
    public static final int MAX_SHARED_PARTS = 4_096;

    /** Objects of one part with a short id. */
    private static final int PART_BYTES = 96;

    public CallerRequest {
        sharedParts = List.copyOf(sharedParts);
    }

    /** Memory that this request takes, without its body. */
    public long memoryBytes() {
        return headers.lengthBytes() + target.length() + (long) PART_BYTES * sharedParts.size();
    }

    /** The target without its query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
