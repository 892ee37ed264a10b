package umberrun.front.rpc;

import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.HashMap;
import java.util.Map;
import umberrun.core.Call;
import umberrun.core.Reply;
import umberrun.core.Request;
import umberrun.front.CallFields.InvalidField;
import umberrun.stats.Counters.Count;

/** A client's connection with its open requests, which may be answered in any order. */
final class RpcConnection {
  private static final int MAX_OPEN_REQUESTS = 32;

  /** While more bytes wait to be sent, nothing is read from the client. */
  private static final int WRITE_QUEUE_BYTES = 64 << 10;

  private static final long OVERLOAD_BACKOFF_MILLIS = 100;
  private static final long SHUTDOWN_BACKOFF_MILLIS = 50;

  /**
   * A message must be complete within this time of its first byte, and the first message within
   * this time of connecting.
   */
  private static final long MESSAGE_TIMEOUT_MILLIS = 2_000;

  /** A connection without an open request is closed after this; clients close theirs after 4 s. */
  private static final long IDLE_TIMEOUT_MILLIS = 5_000;

  /** After its output is shut down, a connection is closed by the client, or here after this. */
  private static final long LINGER_MILLIS = 1_000;

  /** During a drain, a new connection is kept open this long for a first message under way. */
  private static final long FIRST_MESSAGE_MICROS = 1_000_000;

  private final RpcServer server;
  private final NetSocket socket;
  private final RpcDecoder decoder = new RpcDecoder(this::handleMessage);
  private final Map<Long, Call> openCalls = new HashMap<>();
  private final long openedAt;

  /** When the last call arrived, in Unix microseconds; 0 if there was none. */
  private long lastCallAt;

  /** Whether a complete message has been received. */
  private boolean hasSentMessage;

  /**
   * Set when a message was not completed in time: nothing more is read, open calls are answered.
   */
  private boolean readingStopped;

  /** Whether this side's output is being shut down or has been. */
  private boolean outputShutDown;

  private boolean closed;

  /**
   * The timeout for the rest of a message, or for the next message while no request is open; -1 if
   * none is running.
   */
  private long timer = -1;

  /** Whether the timer waits for the rest of a message. */
  private boolean awaitsRest;

  RpcConnection(RpcServer server, NetSocket socket) {
    this.server = server;
    this.socket = socket;
    this.openedAt = server.now();
    socket.setWriteQueueMaxSize(WRITE_QUEUE_BYTES);
    socket.handler(this::read);
    socket.closeHandler(v -> close(Count.CLIENTS_CLOSED_BY_PEER));
    socket.exceptionHandler(e -> close(Count.CLIENTS_CLOSED_ERROR));
    socket.drainHandler(
        v -> {
          socket.resume();
          restartTimeout();
        });
    await(MESSAGE_TIMEOUT_MILLIS, () -> close(Count.CLIENTS_CLOSED_SILENT));
  }

  /**
   * Whether the connection counts as idle, so that closing it loses no call: no request is open or
   * partly received, and the write queue is not full. Fewer bytes may still wait to be sent.
   */
  boolean isIdle() {
    return openCalls.isEmpty() && !decoder.isMidMessage() && !socket.writeQueueFull();
  }

  /**
   * Restarts the timeout that applies to the current state. Clients that send nothing, send half a
   * message or never close would otherwise use up the file descriptors.
   */
  private void restartTimeout() {
    if (closed || outputShutDown || readingStopped || decoder.isMidMessage() && awaitsRest) {
      return;
    }
    server.updateIdle(this);
    cancelTimeout();
    awaitsRest = decoder.isMidMessage();
    if (awaitsRest) {
      await(MESSAGE_TIMEOUT_MILLIS, this::stopReading);
    } else if (openCalls.isEmpty()) {
      await(IDLE_TIMEOUT_MILLIS, () -> close(Count.CLIENTS_CLOSED_IDLE));
    }
  }

  private void await(long millis, Runnable action) {
    timer =
        server
            .vertx()
            .setTimer(
                millis,
                expired -> {
                  timer = -1;
                  action.run();
                });
  }

  /**
   * Called when the rest of a message does not arrive. The calls received before it are answered
   * before the connection is closed.
   */
  private void stopReading() {
    readingStopped = true;
    server.counters().add(Count.CLIENTS_CLOSED_INCOMPLETE);
    shutDownIfAnswered();
    server.checkQuiet();
  }

  private void shutDownIfAnswered() {
    if (readingStopped && openCalls.isEmpty()) {
      shutDownOutput();
    }
  }

  private void cancelTimeout() {
    if (timer >= 0) {
      server.vertx().cancelTimer(timer);
      timer = -1;
    }
  }

  private void read(Buffer chunk) {
    // A client sends again what arrives while its connection is being closed.
    if (closed || outputShutDown || readingStopped) {
      return;
    }
    try {
      decoder.feed(chunk);
    } catch (RpcDecoder.Unreadable e) {
      // Malformed input ends this connection only.
      server.counters().add(Count.BAD_REQUESTS);
      close(Count.CLIENTS_CLOSED_MALFORMED);
    }
    // Before the first complete message, the timeout since connecting keeps running.
    if (hasSentMessage) {
      restartTimeout();
    }
    server.checkQuiet();
  }

  /** Whether the rest of a message is still awaited. */
  boolean isMidMessage() {
    return !closed && !outputShutDown && !readingStopped && decoder.isMidMessage();
  }

  private void handleMessage(RpcMessage message) {
    if (closed || outputShutDown) {
      return;
    }
    hasSentMessage = true;
    awaitsRest = false;
    if (message instanceof RpcMessage.Request request) {
      handleRequest(request);
    } else if (message instanceof RpcMessage.Notification notification
        && notification.method().equals("revoke")) {
      for (long id : notification.ids()) {
        Call call = openCalls.remove(id);
        // An id that is unknown or already answered is ignored.
        if (call != null) {
          server.dispatchLoop().abandon(call);
        }
      }
    }
  }

  private void handleRequest(RpcMessage.Request message) {
    if (openCalls.containsKey(message.id())) {
      // Two answers with one id could not be told apart.
      server.counters().add(Count.BAD_REQUESTS);
      close(Count.CLIENTS_CLOSED_DUPLICATE_ID);
    } else if (message.method().equals("heartbeat")) {
      write(RpcEncoder.heartbeat(message.id(), server.lifecycle().isHealthy()));
    } else if (!server.lifecycle().acceptsCalls(server.now())) {
      lastCallAt = server.now();
      server.counters().add(Count.CALLS_REFUSED_LEAVING);
      write(RpcEncoder.refused(message.id(), SHUTDOWN_BACKOFF_MILLIS));
    } else if (openCalls.size() >= MAX_OPEN_REQUESTS) {
      server.counters().add(Count.CALLS_REFUSED_OPEN_REQUESTS);
      write(RpcEncoder.refused(message.id(), OVERLOAD_BACKOFF_MILLIS));
    } else {
      try {
        Request request = server.toRequest(message);
        // Workers could not tell apart two calls with one request id.
        if (server.dispatchLoop().isInFlight(request.requestId())) {
          throw new InvalidField("rid is that of a request in hand");
        }
        lastCallAt = server.now();
        openCalls.put(message.id(), server.dispatchLoop().submit(request, reply(message.id())));
      } catch (InvalidField e) {
        server.counters().add(Count.BAD_REQUESTS);
        write(RpcEncoder.failed(message.id(), "Invalid", e.getMessage()));
      }
    }
  }

  private Reply reply(long id) {
    return new Reply() {
      @Override
      public void served(Buffer body) {
        if (server.hasRoomFor(body.length())) {
          answer(id, RpcEncoder.served(id, body));
        } else {
          server.counters().add(Count.ANSWERS_DROPPED);
          answer(id, RpcEncoder.failed(id, "Failed", "no room for its answer"));
        }
      }

      @Override
      public void refused(long backoffMillis) {
        answer(id, RpcEncoder.refused(id, backoffMillis));
      }

      @Override
      public void failed(boolean timedOut) {
        answer(id, RpcEncoder.failed(id, "Failed", timedOut ? "its time is up" : "not served"));
      }
    };
  }

  private void answer(long id, Buffer message) {
    // A revoked request gets no answer.
    if (openCalls.remove(id) != null) {
      write(message);
      restartTimeout();
      shutDownIfAnswered();
    }
  }

  /**
   * Sends a message. Reading pauses while the client does not receive its answers, so that they
   * cannot accumulate here.
   */
  private void write(Buffer message) {
    if (!closed) {
      server.addQueuedBytes(message.length());
      socket.write(message).onComplete(v -> server.addQueuedBytes(-message.length()));
      if (socket.writeQueueFull()) {
        socket.pause();
      }
    }
  }

  /**
   * Shuts down the connection during a drain if it is idle, or if it has been busy for too long;
   * its open calls then fail. Must only be called from a timer: the event loop reads all received
   * data before it runs timers, whereas a call may be unread at the time an answer is written.
   */
  void shutDownIfDue() {
    long now = server.now();
    if (closed || outputShutDown) {
      return;
    }
    if (server.lifecycle().closesBusyConnection(now, lastCallAt)) {
      server.counters().add(Count.BUSY_CLIENTS_CLOSED);
      Map<Long, Call> aborted = new HashMap<>(openCalls);
      openCalls.clear();
      aborted.forEach(
          (id, call) -> {
            write(RpcEncoder.failed(id, "Failed", "the front end is leaving"));
            server.dispatchLoop().abandon(call);
          });
      shutDownOutput();
    } else if (server.lifecycle().closesIdleConnections(now)
        && isIdle()
        && (hasSentMessage || now - openedAt > FIRST_MESSAGE_MICROS)) {
      shutDownOutput();
    }
  }

  /**
   * Shuts down the output of this side once all answers are sent. A full close while the client
   * still sends would reset the connection, and the client would lose answers not yet read.
   */
  private void shutDownOutput() {
    outputShutDown = true;
    server.counters().add(Count.CLIENT_CONNECTIONS_SHUT_DOWN);
    cancelTimeout();
    socket
        .write(Buffer.buffer())
        .onComplete(
            v -> {
              if (!closed) {
                ((DuplexChannel) ((NetSocketInternal) socket).channelHandlerContext().channel())
                    .shutdownOutput();
                // Reading goes on in order to notice when the client closes its side.
                socket.resume();
                await(LINGER_MILLIS, this::endConnection);
              }
            });
  }

  /**
   * Closes the connection and abandons its open calls.
   *
   * @param reason the counter of the reason
   */
  void close(Count reason) {
    if (!closed && !outputShutDown) {
      server.counters().add(reason);
    }
    endConnection();
  }

  private void endConnection() {
    if (!closed) {
      closed = true;
      cancelTimeout();
      socket.close();
      openCalls.values().forEach(server.dispatchLoop()::abandon);
      openCalls.clear();
      server.remove(this);
    }
  }
}
