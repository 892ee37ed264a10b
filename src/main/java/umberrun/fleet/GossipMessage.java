package umberrun.fleet;

import java.util.List;

/**
 * One datagram.
 *
 * @param seq names a probe; an answer has that of what it answers
 * @param target the name that is probed
 * @param address where the target is, in a request to probe for somebody else
 * @param from the sender, by its own word
 */
public record GossipMessage(
    Kind kind, long seq, String target, String address, Claim from, List<Claim> news) {
  /** What a datagram wants. */
  public enum Kind {
    /** Are you there? */
    PING,
    /** I am. */
    ACK,
    /** Whoever it is that you look for, it is not here. */
    STRANGER,
    /** Probe somebody for me. */
    ASK,
    /** I had no answer either. */
    NACK,
    /** Your name is mine too. */
    CLASH
  }
}
