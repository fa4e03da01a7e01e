#include "node/zap_handler.h"

#include <zmq.hpp>
#include <zmq_addon.hpp>

#include <cstring>
#include <stdexcept>
#include <vector>

namespace tamarackridge {
namespace {

// Frames of a ZAP request: version, request id, domain, address, identity, mechanism, credentials.
constexpr std::size_t versionFrame = 0;
constexpr std::size_t requestIdFrame = 1;
constexpr std::size_t mechanismFrame = 5;
constexpr std::size_t keyFrame = 6;

} // namespace

zap_handler::zap_handler(zmq::context_t &context, const std::string &publicKey)
    : m_socket(std::make_unique<zmq::socket_t>(context, zmq::socket_type::rep))
{
    if (publicKey.size() != 40 || zmq_z85_decode(m_key.data(), publicKey.c_str()) == nullptr)
        throw std::runtime_error("the fleet's public key is not a Z85 key");
    m_socket->set(zmq::sockopt::linger, 0);
    m_socket->bind("inproc://zeromq.zap.01");
}

zap_handler::~zap_handler() = default;

bool zap_handler::respondToOne()
{
    std::vector<zmq::message_t> request;
    if (!zmq::recv_multipart(*m_socket, std::back_inserter(request), zmq::recv_flags::dontwait))
        return false;
    const bool allowed = request.size() == keyFrame + 1
                         && request[mechanismFrame].to_string_view() == "CURVE"
                         && request[keyFrame].size() == m_key.size()
                         && std::memcmp(request[keyFrame].data(), m_key.data(), m_key.size()) == 0;
    const std::string id =
            request.size() > requestIdFrame ? request[requestIdFrame].to_string() : std::string();
    const std::string version =
            request.empty() ? std::string("1.0") : request[versionFrame].to_string();
    const std::array<std::string, 6> reply = {version,
                                              id,
                                              allowed ? "200" : "400",
                                              allowed ? "OK" : "Not the fleet's key",
                                              allowed ? "fleet" : "",
                                              ""};
    std::vector<zmq::const_buffer> frames;
    frames.reserve(reply.size());
    for (const std::string &frame : reply)
        frames.push_back(zmq::buffer(frame));
    zmq::send_multipart(*m_socket, frames);
    return allowed;
}

} // namespace tamarackridge
