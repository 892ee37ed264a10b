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
 * The platform's protocol, MessagePack-RPC over TCP: decodes a call, hands it on, encodes its one
 * answer.
 */
public final class RpcServer {
  private static final int BACKLOG = 1_024;

  /** What the loop accepts in three turns; whoever writes at once has been read by then. */
  private static final int MOST_SILENT = 48;

  private static final double MOST_BUDGET_MILLIS = 600_000;

  private final Vertx vertx;
  private final DispatchLoop owner;
  private final Counters counters;
  private final SettingNames names;
  private final Lifecycle duty;
  private final Clock clock;
  private final ConnectionLimits account;
  private final long mostQueued;
  private long queued;
  private final Set<RpcConnection> all = new LinkedHashSet<>();

  /** Those that have not said a whole thing yet, in the order in which they came. */
  private final Set<RpcConnection> silent = new LinkedHashSet<>();

  /** Those without an open request that have, the one that is idle for longest first. */
  private final Set<RpcConnection> idle = new LinkedHashSet<>();

  private Runnable whenEmpty;
  private Runnable whenQuiet;

  public RpcServer(
      Vertx vertx,
      DispatchLoop owner,
      Counters counters,
      SettingNames names,
      Lifecycle duty,
      Clock clock,
      ConnectionLimits account,
      long mostQueued) {
    this.mostQueued = mostQueued;
    this.vertx = vertx;
    this.duty = duty;
    this.clock = clock;
    this.owner = owner;
    this.counters = counters;
    this.names = names;
    this.account = account;
  }

  private NetServer server() {
    return vertx
        .createNetServer(
            new NetServerOptions()
                .setTcpNoDelay(true)
                .setAcceptBacklog(BACKLOG)
                .setReuseAddress(true)
                .setReusePort(true))
        .connectHandler(this::accept);
  }

  /** Listens, beside other processes that do; the port that it got, where any would do. */
  public Future<Integer> listen(SocketAddress address) {
    return server().listen(address).map(NetServer::actualPort);
  }

  /**
   * Does something with a listener of its own, which is closed when that is over. The clients'
   * address can't be used to rehearse: another process may listen there as well, and clients would
   * come before this one is ready.
   */
  public <T> Future<T> withPrivateListener(String host, Function<SocketAddress, Future<T>> use) {
    NetServer server = server();
    return server
        .listen(0, host)
        .compose(s -> use.apply(SocketAddress.inetSocketAddress(s.actualPort(), host)))
        .eventually(server::close);
  }

  /** Looks at all connections while clients are let go of; to be called every now and then. */
  public void closeIdleConnections() {
    List.copyOf(all).forEach(RpcConnection::letGoIfDue);
  }

  /** Runs {@code action} once no connection is left: at once, or when the last one is closed. */
  public void whenEmpty(Runnable action) {
    whenEmpty = action;
    if (all.isEmpty()) {
      action.run();
    }
  }

  /**
   * Whether an answer of so many bytes may wait for its client; guards the memory against those
   * that read slowly.
   */
  boolean hasRoomFor(int bytes) {
    return queued + bytes
        <= mostQueued / account.processes(); // the memory is for all processes of this front end
  }

  /** So many more bytes wait for clients, or fewer. */
  void queue(int bytes) {
    queued += bytes;
    checkQuiet();
  }

  /** Whether no answer waits for its client, and no message for its rest. */
  public boolean isQuiet() {
    return queued == 0 && all.stream().noneMatch(RpcConnection::isMidway);
  }

  /**
   * Runs {@code action} once it is quiet: at once, or when the last answer has left or the last
   * message is whole or given up.
   */
  public void whenQuiet(Runnable action) {
    whenQuiet = action;
    checkQuiet();
  }

  void checkQuiet() {
    if (whenQuiet != null && isQuiet()) {
      Runnable action = whenQuiet;
      whenQuiet = null;
      action.run();
    }
  }

  Lifecycle duty() {
    return duty;
  }

  long now() {
    return clock.now();
  }

  Vertx vertx() {
    return vertx;
  }

  DispatchLoop owner() {
    return owner;
  }

  Counters counters() {
    return counters;
  }

  private void accept(NetSocket socket) {
    if (account.tryAcquire(Purpose.CLIENTS)) {
      admit(socket);
      return;
    }
    // Once all has been read that came with it: guards a request that lies unread on the connection
    // that would be closed.
    socket.pause();
    vertx.runOnContext(
        v -> {
          if (account.tryAcquire(Purpose.CLIENTS)
              || makeRoom() && account.tryAcquire(Purpose.CLIENTS)) {
            admit(socket);
            socket.resume();
          } else { // guards the descriptors that the workers' links need
            socket.close();
          }
        });
  }

  private void admit(NetSocket socket) {
    counters.add(Count.CLIENT_CONNECTIONS);
    RpcConnection c = new RpcConnection(this, socket);
    all.add(c);
    silent.add(c);
  }

  /**
   * Closes the connection that will be missed least: where many have said nothing, the first of
   * these (not any of them: nothing of the newest has been read yet), or else the one that has been
   * idle for longest, as it is least likely to have a request on its way.
   */
  private boolean makeRoom() {
    Set<RpcConnection> from = silent.size() > MOST_SILENT || idle.isEmpty() ? silent : idle;
    if (from.isEmpty()) {
      return false;
    }
    counters.add(Count.CLIENTS_DISPLACED);
    from.iterator().next().close();
    return true;
  }

  /** Something whole was read from it, or its last open request was answered. */
  void heard(RpcConnection connection) {
    silent.remove(connection);
    idle.remove(connection);
    if (connection.isIdle()) {
      idle.add(connection);
    }
  }

  void closed(RpcConnection connection) {
    all.remove(connection);
    account.release(Purpose.CLIENTS);
    silent.remove(connection);
    idle.remove(connection);
    if (all.isEmpty() && whenEmpty != null) {
      whenEmpty.run();
    }
    checkQuiet();
  }

  /**
   * A heartbeat that carries the fields of a call, as the decoder then has the same work with it.
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

  /** How long the answer to a heartbeat with a small id is. */
  public static int heartbeatAnswerBytes() {
    return RpcEncoder.heartbeat(1, false).length();
  }

  /** The call in a request, of which the method is the class. */
  Request request(RpcMessage.Request r) throws InvalidField {
    Map<String, String> f = r.fields();
    if (f == null) {
      throw new InvalidField("parameters must be a map of strings to strings and a body");
    }
    if (r.body() == null) {
      throw new InvalidField("the body is longer than " + CallFields.MAX_BODY_BYTES + " bytes");
    }
    int callClass = names.classes().indexOf(r.method());
    if (callClass < 0) {
      throw new InvalidField("unknown class");
    }
    CallFields.hex("rid", f.get("rid"));
    long function = CallFields.hex("obj", f.get("obj"));
    Buffer key = CallFields.key(f.get("token"));
    CallFields.requireKey(owner.settings(), callClass, key);
    int tenant = names.tenants().indexOf(f.getOrDefault("acct", ""));
    if (tenant < 0 && !names.tenants().isEmpty()) {
      throw new InvalidField("unknown tenant");
    }
    return new Request(
        latin(f.get("rid")),
        callClass,
        Math.max(0, tenant),
        latin(f.get("obj")),
        function,
        key,
        budget(f.get("budget")),
        "1".equals(f.get("again")),
        CallFields.resourceHints(f.get("info")),
        r.body());
  }

  private static Buffer latin(String text) {
    return Buffer.buffer(text, StandardCharsets.ISO_8859_1.name());
  }

  private static long budget(String text) throws InvalidField {
    try {
      double millis = Double.parseDouble(text == null ? "" : text);
      if (millis > 0 && millis <= MOST_BUDGET_MILLIS) {
        return (long) (millis * 1_000);
      }
    } catch (NumberFormatException e) {
      // said below
    }
    throw new InvalidField("budget must be a number of milliseconds");
  }
}
