package umberrun.transport;

import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

/** The input of a connection that its handlers have not seen yet. */
public interface ConnectionInput {
  /**
   * Whether all input had been read when the system was last asked. While it is false, more may be
   * there, and perhaps the end of the input behind it.
   */
  boolean isDrained();

  /** How long the input that is being handled has waited for its turn, in microseconds. */
  long waitedMicros();

  /** Reads one quantum at once, without waiting for a turn. */
  void readNow();

  /**
   * Whether the peer has ended or reset its side of the connection. Known with the last input that
   * is read, before the connection counts as closed.
   */
  boolean hasEnded();

  /**
   * Reads nothing until {@link #resume}. What is unread stays with the system, unlike with {@link
   * NetSocket#pause}, which reads on for a while and keeps what it has read.
   */
  void pause();

  /** Reads again. */
  void resume();

  /** The input of a connection of {@link SingleLoopTransport}. */
  static ConnectionInput of(NetSocket socket) {
    return (ConnectionInput) ((NetSocketInternal) socket).channelHandlerContext().channel();
  }
}
