package umberrun.front.rpc;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import umberrun.admission.ConnectionLimits;
import umberrun.admission.ConnectionLimits.Purpose;
import umberrun.admission.MemoryBudget;
import umberrun.config.Config.SettingNames;
import umberrun.core.Clock;
import umberrun.core.DispatchLoop;
import umberrun.core.Lifecycle;
import umberrun.core.Request;
import umberrun.front.CallFields;
import umberrun.front.CallFields.InvalidField;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;

/**
 * Serves the platform's protocol, MessagePack-RPC over TCP: decodes each call, submits it to the
 * dispatch loop and encodes its answer.
 */
public final class RpcServer {
  private static final int ACCEPT_BACKLOG = 1_024;

  /**
   * Connections without a complete message that are kept before one of them is displaced: as many
   * as the event loop accepts in three iterations, by which time an immediate first message was
   * read.
   */
  private static final int MAX_SILENT_CONNECTIONS = 48;

  private static final double MAX_BUDGET_MILLIS = 600_000;

  private final Vertx vertx;
  private final DispatchLoop dispatchLoop;
  private final Counters counters;
  private final SettingNames names;
  private final Lifecycle lifecycle;
  private final Clock clock;
  private final ConnectionLimits connectionLimits;
  private final MemoryBudget answerBudget;
  private final MemoryBudget inputBudget;

  /** Bytes of answers that wait to be sent to clients. */
  private long queuedBytes;

  private final Set<RpcConnection> connections = new LinkedHashSet<>();

  /** Connections without a complete message yet, oldest first. */
  private final Set<RpcConnection> silent = new LinkedHashSet<>();

  /** Connections with a message but no open request, the one idle for longest first. */
  private final Set<RpcConnection> idle = new LinkedHashSet<>();

  /** Connections with a part of a message, the one whose part came first before the others. */
  private final Set<RpcConnection> withPart = new LinkedHashSet<>();

  private Runnable whenEmpty;
  private Runnable whenQuiet;

  /**
   * Creates the server.
   *
   * @param answerBudget limits the answers that wait to be sent
   * @param inputBudget limits what was received and is not submitted
   */
  public RpcServer(
      Vertx vertx,
      DispatchLoop dispatchLoop,
      Counters counters,
      SettingNames names,
      Lifecycle lifecycle,
      Clock clock,
      ConnectionLimits connectionLimits,
      MemoryBudget answerBudget,
      MemoryBudget inputBudget) {
    this.answerBudget = answerBudget;
    this.inputBudget = inputBudget;
    this.vertx = vertx;
    this.lifecycle = lifecycle;
    this.clock = clock;
    this.dispatchLoop = dispatchLoop;
    this.counters = counters;
    this.names = names;
    this.connectionLimits = connectionLimits;
  }

  private NetServer createServer() {
    return vertx
        .createNetServer(
            new NetServerOptions()
                .setTcpNoDelay(true)
                .setAcceptBacklog(ACCEPT_BACKLOG)
                .setReuseAddress(true)
                .setReusePort(true))
        .connectHandler(this::accept);
  }

  /**
   * Starts to listen; other processes may listen at the same address. Completes with the port in
   * use, which the system chose if the address has port 0.
   */
  public Future<Integer> listen(SocketAddress address) {
    return createServer().listen(address).map(NetServer::actualPort);
  }

  /**
   * Runs an action with a temporary listener and closes the listener afterwards. Warming up cannot
   * use the clients' address: another process may listen there as well, and clients would connect
   * before this process is ready.
   */
  public <T> Future<T> withPrivateListener(String host, Function<SocketAddress, Future<T>> action) {
    NetServer server = createServer();
    return server
        .listen(0, host)
        .compose(s -> action.apply(SocketAddress.inetSocketAddress(s.actualPort(), host)))
        .eventually(server::close);
  }

  /** Shuts down the connections for which that is due during a drain; called periodically. */
  public void closeIdleConnections() {
    List.copyOf(connections).forEach(RpcConnection::shutDownIfDue);
  }

  /**
   * Runs an action once there are no connections: immediately, or when the last one closes. It runs
   * again if connections are admitted after that and the last of them closes.
   */
  public void whenEmpty(Runnable action) {
    whenEmpty = action;
    if (connections.isEmpty()) {
      action.run();
    }
  }

  /** Whether an answer of so many bytes may be queued. */
  boolean hasRoomFor(int bytes) {
    return answerBudget.hasRoomFor(bytes);
  }

  /** Changes the number of queued bytes; negative when bytes were sent. */
  void addQueuedBytes(int bytes) {
    queuedBytes += bytes;
    answerBudget.charge(bytes);
    checkQuiet();
  }

  MemoryBudget inputBudget() {
    return inputBudget;
  }

  /**
   * Changes what is charged for the received part of a message. Where there is no room, the
   * connections that have waited for longest for the rest of theirs are given up.
   */
  void updatePart(RpcConnection connection, int bytes, boolean hasPart) {
    inputBudget.charge(bytes);
    if (!hasPart) {
      withPart.remove(connection);
      return;
    }
    withPart.add(connection);
    while (!inputBudget.hasRoomFor(0) && !withPart.isEmpty()) {
      withPart.iterator().next().stopReading(Count.CLIENTS_CLOSED_NO_ROOM);
    }
  }

  /** Whether no answer waits to be sent, and no message is unread or partly received. */
  public boolean isQuiet() {
    return queuedBytes == 0 && connections.stream().noneMatch(RpcConnection::hasPendingInput);
  }

  /**
   * Runs an action once {@link #isQuiet} holds: immediately, or when the last answer is sent or the
   * last partial message is completed or abandoned.
   */
  public void whenQuiet(Runnable action) {
    whenQuiet = action;
    checkQuiet();
  }

  /** Runs the action of {@link #whenQuiet} if it is due. */
  void checkQuiet() {
    if (whenQuiet != null && isQuiet()) {
      Runnable action = whenQuiet;
      whenQuiet = null;
      action.run();
    }
  }

  Lifecycle lifecycle() {
    return lifecycle;
  }

  long now() {
    return clock.now();
  }

  Vertx vertx() {
    return vertx;
  }

  DispatchLoop dispatchLoop() {
    return dispatchLoop;
  }

  Counters counters() {
    return counters;
  }

  /** Counts a call whose client has revoked it, or gone, before it was submitted. */
  void countAbandonedUnsubmitted() {
    counters.add(Count.CALLS_TAKEN);
    counters.add(Count.CALLS_ABANDONED);
  }

  private void accept(NetSocket socket) {
    if (connectionLimits.tryAcquire(Purpose.CLIENTS)) {
      admit(socket);
      return;
    }
    // Decide only after the data that arrived together with this connection is read: the connection
    // that would be displaced may have an unread request.
    socket.pause();
    vertx.runOnContext(
        v -> {
          if (connectionLimits.tryAcquire(Purpose.CLIENTS)
              || displaceConnection() && connectionLimits.tryAcquire(Purpose.CLIENTS)) {
            admit(socket);
            socket.resume();
          } else {
            // The remaining descriptors are needed for connections to workers.
            socket.close();
          }
        });
  }

  private void admit(NetSocket socket) {
    counters.add(Count.CLIENT_CONNECTIONS);
    RpcConnection connection = new RpcConnection(this, socket);
    connections.add(connection);
    silent.add(connection);
  }

  /**
   * Closes one connection to admit another. If many have sent no message, it is the oldest of
   * those, as the newest may not have been read yet; otherwise the one idle for longest, as it is
   * least likely to have a request under way.
   *
   * @return false if there is no connection that may be closed
   */
  private boolean displaceConnection() {
    for (RpcConnection oldest = displaceable(); oldest != null; ) {
      // A request of its client may have arrived.
      oldest.readNow();
      RpcConnection next = displaceable();
      if (next == oldest) {
        oldest.close(Count.CLIENTS_DISPLACED);
        return true;
      }
      oldest = next;
    }
    return false;
  }

  /** The connection to be closed for another one; null if there is none. */
  private RpcConnection displaceable() {
    Set<RpcConnection> candidates =
        silent.size() > MAX_SILENT_CONNECTIONS || idle.isEmpty() ? silent : idle;
    return candidates.isEmpty() ? null : candidates.iterator().next();
  }

  /**
   * Updates whether a connection counts as idle, after a complete message of its client arrived or
   * one of its requests was answered.
   */
  void updateIdle(RpcConnection connection) {
    silent.remove(connection);
    idle.remove(connection);
    if (connection.isIdle()) {
      idle.add(connection);
    }
  }

  /** Called when a connection is closed. */
  void remove(RpcConnection connection) {
    connections.remove(connection);
    connectionLimits.release(Purpose.CLIENTS);
    silent.remove(connection);
    idle.remove(connection);
    if (connections.isEmpty() && whenEmpty != null) {
      whenEmpty.run();
    }
    checkQuiet();
  }

  /**
   * A request for warming up: a heartbeat that carries the fields of a call, so that decoding it
   * runs the same code as a call.
   */
  public static Buffer warmUpRequest(long id) {
    return RpcEncoder.request(
        id,
        "heartbeat",
        Map.of(
            "rid",
            "9b1f03aa5c7e2d41",
            "budget",
            "1500",
            "acct",
            "acme",
            "obj",
            "7f3a9c21e0b4d655",
            "info",
            "memory_mb:512;lanes:2;load_ms:640"),
        Buffer.buffer(new byte[100]));
  }

  /** The length of the answer to a heartbeat with a small id. */
  public static int heartbeatAnswerBytes() {
    return RpcEncoder.heartbeat(1, false).length();
  }

  /** Converts a message into a call; its method is the name of the call class. */
  Request toRequest(RpcMessage.Request message) throws InvalidField {
    Map<String, String> fields = message.fields();
    if (fields == null) {
      throw new InvalidField("parameters must be a map of strings to strings and a body");
    }
    if (message.body() == null) {
      throw new InvalidField("the body is longer than " + CallFields.MAX_BODY_BYTES + " bytes");
    }
    int callClass = names.classes().indexOf(message.method());
    if (callClass < 0) {
      throw new InvalidField("unknown class");
    }
    CallFields.hex("rid", fields.get("rid"));
    long function = CallFields.hex("obj", fields.get("obj"));
    Buffer key = CallFields.key(fields.get("token"));
    CallFields.requireKey(dispatchLoop.settings(), callClass, key);
    int tenant = names.tenants().indexOf(fields.getOrDefault("acct", ""));
    if (tenant < 0 && !names.tenants().isEmpty()) {
      throw new InvalidField("unknown tenant");
    }
    return new Request(
        latin1(fields.get("rid")),
        callClass,
        Math.max(0, tenant),
        latin1(fields.get("obj")),
        function,
        key,
        parseBudget(fields.get("budget")),
        "1".equals(fields.get("again")),
        CallFields.resourceHints(fields.get("info")),
        message.body());
  }

  private static Buffer latin1(String text) {
    return Buffer.buffer(text, StandardCharsets.ISO_8859_1.name());
  }

  /** Parses a time budget in milliseconds and converts it to microseconds. */
  private static long parseBudget(String text) throws InvalidField {
    try {
      double millis = Double.parseDouble(text == null ? "" : text);
      if (millis > 0 && millis <= MAX_BUDGET_MILLIS) {
        return (long) (millis * 1_000);
      }
    } catch (NumberFormatException e) {
      // reported below
    }
    throw new InvalidField("budget must be a number of milliseconds");
  }
}
