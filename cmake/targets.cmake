# Applies the sanitizers of GOLDCRESTGATE_SANITIZE to a target.
function(goldcrestgate_sanitize target)
    if(GOLDCRESTGATE_SANITIZE)
        # g++ 12 reports members of std::optional as maybe uninitialized in
        # code that it has instrumented; the plain build keeps the warning.
        target_compile_options(${target} PRIVATE
            -fsanitize=${GOLDCRESTGATE_SANITIZE} -fno-omit-frame-pointer
            -fno-sanitize-recover=all
            $<$<CXX_COMPILER_ID:GNU>:-Wno-maybe-uninitialized>)
        target_link_options(${target} PUBLIC
            -fsanitize=${GOLDCRESTGATE_SANITIZE})
    endif()
endfunction()

# Applies the project's include directories, warnings and sanitizers to a target.
function(goldcrestgate_target target)
    target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR}/include
        ${PROJECT_SOURCE_DIR})
    target_compile_options(${target} PRIVATE
        -Wall -Wextra -Wconversion -Wshadow -Werror)
    goldcrestgate_sanitize(${target})
endfunction()

# Adds a program; all further arguments are its source files.
function(goldcrestgate_program name)
    add_executable(${name} ${ARGN})
    goldcrestgate_target(${name})
    target_link_libraries(${name} PRIVATE goldcrestgate_io)
endfunction()
